//! Small stand-ins for the review: the platform's store, backend servers, callers, and a gateway
//! process. Standard library only; every address is a loopback address.

pub mod backend;
pub mod client;
pub mod gateway;
pub mod http;
pub mod record;
pub mod store;

pub use backend::{Backend, Reply};
pub use client::{Answer, Client};
pub use gateway::{Gateway, Layout};
pub use http::{read_message, Message};
pub use record::Record;
pub use store::Store;

use std::time::{Duration, Instant};

/// Whether the disruption of a case is played: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Waits until a condition holds; returns whether it did within the timeout.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// A route of a configuration: its kind, and its times in milliseconds.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub max_attempts: u32,
}

/// Host of all routes.
pub const HOST: &str = "news.example";
/// Key of the only tenant.
pub const KEY: &str = "key-of-north";

/// A configuration as the operator writes it to `op/config`. A rate of 0 is no limit.
pub fn configuration(version: u64, routes: &[Route<'_>], services: &[&str], rate: f64, burst: f64) -> String {
    let mut resources: Vec<String> = Vec::new();
    for (i, route) in routes.iter().enumerate() {
        let Route { prefix, kind, service, timeout_ms, objective_ms, max_attempts } = route;
        resources.push(format!(
            "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"r-{i}\"}},\"spec\":{{\"host\":\"{HOST}\",\
             \"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
             \"latency_objective_ms\":{objective_ms},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{max_attempts},\"public\":false}}}}"
        ));
    }
    for service in services {
        resources.push(format!(
            "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":\
             {{\"health_check_path\":\"/health\",\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false}}}}"
        ));
    }
    resources.push(format!(
        "{{\"resource_type\":\"tenants\",\"metadata\":{{\"name\":\"north\"}},\"spec\":\
         {{\"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":{rate},\"burst\":{burst}}}}}"
    ));
    resources.push(
        "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
            .to_owned(),
    );
    format!("{{\"version\":\"r{version}\",\"resources\":[{}]}}", resources.join(","))
}

/// Asks a VM which address the callers of a failure domain are to use.
pub fn resolve(vm: &Gateway, domain: &str) -> Option<std::net::SocketAddr> {
    let text = format!("GET /-/resolve?name={HOST}&region=north&zone={domain} HTTP/1.1\r\nHost: x\r\n\r\n");
    let Answer::Whole(answer) = client::call(vm.directory, text.as_bytes(), Duration::from_secs(1)) else {
        return None;
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    body.split_once("\"addresses\":[\"")?.1.split('"').next()?.parse().ok()
}
