use http::{HeaderValue, Response, Uri, header};
use kernel::prelude::*;
use serde::Serialize;

use crate::body::{Body, full};
use crate::fleet::Fleet;

/// One address that a caller may connect to.
#[derive(Debug, Serialize)]
struct EntryAddress {
    /// Address.
    address: std::net::SocketAddr,
    /// Prefix of idempotency keys that this VM may run; the caller appends its own text.
    #[serde(skip_serializing_if = "Option::is_none")]
    idempotency_prefix: Option<String>,
}

/// The response to an entry request.
#[derive(Debug, Serialize)]
struct Entry {
    service: ServiceId,
    region: RegionId,
    ttl_ms: u64,
    addresses: Vec<EntryAddress>,
}

/// Answers which addresses to use for a service, best first.
pub fn answer(
    fleet: &dyn Fleet,
    uri: &Uri,
    ttl: Duration,
    count: usize,
) -> Result<Response<Body>, Refusal> {
    let query = |name: &str| {
        uri.query().unwrap_or("").split('&').find_map(|pair| {
            pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value)
        })
    };
    let service = query("service").ok_or_else(|| {
        Refusal::not_run(RefusalKind::BadRequest, "no service is named; add ?service=NAME")
    })?;
    if !fleet.lookup().config.services.contains_key(service) {
        let message = format!("no service is named {service:?}; check the name");
        return Err(Refusal::not_run(RefusalKind::RouteUnknown, message));
    }
    let region = query("region").unwrap_or(&fleet.me().place.region);
    let mut vms = fleet.homes(service, region);
    vms.truncate(count);
    if vms.is_empty() {
        // No VM of the region is known here; this VM is better than none.
        vms.push(fleet.me().clone());
    }
    let addresses = vms
        .into_iter()
        .map(|vm| EntryAddress {
            address: vm.callers,
            idempotency_prefix: fleet
                .uptime_of(vm.incarnation)
                .map(|up| format!("v1.{:016x}.{}.", vm.incarnation, up.as_secs())),
        })
        .collect();
    let entry = Entry {
        service: service.into(),
        region: region.into(),
        ttl_ms: ttl.as_millis() as u64,
        addresses,
    };
    let text = serde_json::to_string(&entry).map_err(|error| {
        Refusal::not_run(RefusalKind::BadRequest, format!("no entry can be given ({error})"))
    })?;
    let mut response = Response::new(full(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}
