use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use config::{ChangeSet, ConfigStore, FleetConfig, digest_key};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use platform_client::MemoryPlatform;
use serde_json::json;
use settings::Settings;
use tokio::net::{TcpListener, TcpStream};

/// Key of the organisation of the test.
pub const KEY: &str = "secret-key-9f1d";
/// Timeout for reaching an expected state of the fleet, long enough for a busy machine.
const WAIT: Duration = Duration::from_secs(60);

/// Exporter that collects the ended spans.
#[derive(Clone, Debug, Default)]
pub struct Spans(Arc<Mutex<Vec<SpanData>>>);

impl Spans {
    /// Returns all spans collected so far.
    pub fn all(&self) -> Vec<SpanData> {
        self.0.lock().expect("lock").clone()
    }
}

impl SpanExporter for Spans {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.0.lock().expect("lock").extend(batch);
        Ok(())
    }
}

/// Polls until `ask` returns a value; panics after [`WAIT`].
pub async fn until<T>(what: &str, mut ask: impl AsyncFnMut() -> Option<T>) -> T {
    let polling = async {
        loop {
            if let Some(value) = ask().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT, polling)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting: {what}"))
}

/// Sends one GET request. Returns status 0 if the connection cannot be opened.
pub async fn get(to: SocketAddr, path: &str, headers: &[(&str, &str)]) -> (u16, String) {
    let Ok(stream) = TcpStream::connect(to).await else { return (0, String::new()) };
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(connection);
    let mut request = Request::get(path).header("host", "fleet");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Empty::<Bytes>::new()).expect("request");
    let response = sender.send_request(request).await.expect("response");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Headers of the requests that the backend servers received.
type Seen = Arc<Mutex<Vec<HeaderMap>>>;

/// Serves both backend servers. Of all requests, only the first one is shed.
async fn serve_backends(listener: TcpListener, seen: Seen) {
    while let Ok((stream, _)) = listener.accept().await {
        let seen = Arc::clone(&seen);
        let service = service_fn(move |request: Request<Incoming>| {
            let mut response = Response::new(Full::new(Bytes::from_static(b"script")));
            if request.uri().path().starts_with("/scripts") {
                let mut seen = seen.lock().expect("lock");
                seen.push(request.headers().clone());
                if seen.len() == 1 {
                    *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
                    response.headers_mut().insert("x-not-run", "shed".parse().expect("header"));
                }
            }
            async move { Ok::<_, Infallible>(response) }
        });
        let http = hyper::server::conn::http1::Builder::new();
        tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
    }
}

/// Two VMs with one service.
pub struct Fleet {
    vms: Vec<Settings>,
    seen: Seen,
}

fn settings(vm: u8, host: IpAddr) -> Settings {
    let address = |port: u16| SocketAddr::new(host, port + u16::from(vm) * 10).to_string();
    let text = json!({
        "vm": format!("vm-{vm}"),
        "place": {"region": "norrland", "domain": "umea-a"},
        "listen": {
            "callers": address(7001),
            "peers": address(7002),
            "operators": address(7003),
            "admin": address(7004),
        },
        "platform": {"adapter": "memory", "address": SocketAddr::new(host, 7000).to_string()},
        "secrets": {"fleet": "fleet-secret", "operator_tokens": ["operator-token-of-the-test"]},
        "seed": vm,
    });
    Settings::parse(&text.to_string()).expect("settings")
}

fn changes(backend: SocketAddr) -> ChangeSet {
    let backend = |id: &str| {
        json!({
            "id": id,
            "address": backend,
            "place": {"region": "norrland", "domain": "umea-a"},
            "limits": {"slots": 4, "connections": 400},
            "draining": false,
        })
    };
    let set = json!({
        "change_id": "first",
        "base_version": 0,
        "changes": [
            {"change": "put-organisation", "id": "radio",
                "organisation": {"rate": {"per_second": 100.0, "burst": 100.0}, "weight": 1.0}},
            {"change": "issue-key", "digest": digest_key(KEY.as_bytes()), "organisation": "radio"},
            {"change": "put-service", "id": "manus",
                "service": {"floor": 0.5, "backends": [backend("manus-1"), backend("manus-2")]}},
            {"change": "put-route", "id": "scripts",
                "route": {"prefix": "/scripts", "service": "manus", "idempotent": true,
                    "weight": 1.0, "deadline_ms": 30000}},
        ],
    });
    serde_json::from_value(set).expect("change set")
}

impl Fleet {
    /// Starts the VMs and waits until they know each other.
    pub async fn start() -> Fleet {
        // Each run uses its own loopback address, so that the fixed ports are free.
        let [.., b, c] = std::process::id().to_be_bytes();
        let host = IpAddr::V4(Ipv4Addr::new(127, 83, b, c.max(1)));
        let listener = TcpListener::bind((host, 0)).await.expect("listener");
        let backend = listener.local_addr().expect("address");
        let seen = Seen::default();
        tokio::spawn(serve_backends(listener, Arc::clone(&seen)));
        let platform = MemoryPlatform::shared(SocketAddr::new(host, 7000)).open();
        let store = ConfigStore::new(platform.table, platform.objects);
        store.commit(&FleetConfig::default(), &changes(backend)).await.expect("configuration");
        let vms = vec![settings(1, host), settings(2, host)];
        for vm in &vms {
            let run = daemon::run(vm.clone());
            tokio::spawn(async move { run.await.expect("the VM runs") });
        }
        for vm in &vms {
            until("the VMs are healthy and know each other", async || {
                let (status, _) = get(vm.listen.admin, "/healthz", &[]).await;
                let (_, metrics) = get(vm.listen.admin, "/metrics", &[]).await;
                let alive = metrics.contains(r#"papayareel_peers{state="alive"} 1"#);
                (status == 200 && alive).then_some(())
            })
            .await;
        }
        Fleet { vms, seen }
    }

    /// The VM that forwards requests, and the home of the service, once both agree on it.
    pub async fn entry_and_home(&self) -> (&Settings, &Settings) {
        let home = until("the VMs agree on the home", async || {
            let mut homes = Vec::new();
            for vm in &self.vms {
                let path = "/.papayareel/entry?service=manus";
                let (_, body) = get(vm.listen.callers, path, &[]).await;
                let entry: serde_json::Value = serde_json::from_str(&body).ok()?;
                homes.push(entry["addresses"][0]["address"].clone());
            }
            (homes[0] == homes[1]).then(|| homes.remove(0))
        })
        .await;
        let first = home == json!(self.vms[0].listen.callers);
        if first { (&self.vms[1], &self.vms[0]) } else { (&self.vms[0], &self.vms[1]) }
    }

    /// Returns the headers of the requests that the backend servers received.
    pub fn seen(&self) -> Vec<HeaderMap> {
        self.seen.lock().expect("lock").clone()
    }
}
