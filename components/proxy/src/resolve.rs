use http::{HeaderValue, Response, Uri, header};
use kernel::VmEntry;
use kernel::prelude::*;
use retry::issue_prefix;
use serde::Serialize;

use crate::body::{Body, full};
use crate::fleet::Fleet;

/// Address of a VM that a caller may connect to.
#[derive(Debug, Serialize)]
struct ResolvedAddress {
    address: std::net::SocketAddr,
    /// Prefix for idempotency keys, to which the caller appends its own text.
    idempotency_prefix: Box<str>,
}

/// Body of the response to a resolve request.
#[derive(Debug, Serialize)]
struct ResolveResponse {
    service: ServiceId,
    region: RegionId,
    ttl_ms: u64,
    addresses: Vec<ResolvedAddress>,
}

/// Prefix of the idempotency keys that the VM may run. The uptime of a VM from which nothing has
/// been received yet is unknown; the prefix then names this VM, which checks the keys itself and
/// forwards the requests to the home.
fn key_prefix(fleet: &dyn Fleet, vm: &VmEntry) -> Box<str> {
    match fleet.vm_uptime(vm.incarnation) {
        Some(up) => issue_prefix(vm.incarnation, up.as_secs()),
        None => issue_prefix(fleet.this_vm().incarnation, fleet.now().as_secs()),
    }
}

/// Returns the addresses to use for a service, best first.
pub fn resolve(
    fleet: &dyn Fleet,
    uri: &Uri,
    ttl: Duration,
    max_addresses: usize,
) -> Result<Response<Body>, Refusal> {
    let query = |name: &str| {
        uri.query().unwrap_or("").split('&').find_map(|pair| {
            pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value)
        })
    };
    let service = query("service").ok_or_else(|| {
        Refusal::not_run(RefusalKind::BadRequest, "the query names no service; add ?service=NAME")
    })?;
    if !fleet.lookup().config.services.contains_key(service) {
        let message = format!("no service is named {service:?}; check the name");
        return Err(Refusal::not_run(RefusalKind::RouteUnknown, message));
    }
    let region = query("region").unwrap_or(&fleet.this_vm().place.region);
    let mut vms = fleet.homes(service, region);
    vms.truncate(max_addresses);
    if vms.is_empty() {
        // This VM knows no VM of the region, so it returns its own address as a fallback.
        vms.push(fleet.this_vm().clone());
    }
    let addresses = vms
        .into_iter()
        .map(|vm| ResolvedAddress {
            address: vm.callers,
            idempotency_prefix: key_prefix(fleet, &vm),
        })
        .collect();
    let response_body = ResolveResponse {
        service: service.into(),
        region: region.into(),
        ttl_ms: ttl.as_millis() as u64,
        addresses,
    };
    let text = serde_json::to_string(&response_body).map_err(|error| {
        Refusal::not_run(
            RefusalKind::BadRequest,
            format!("the addresses cannot be encoded ({error})"),
        )
    })?;
    let mut response = Response::new(full(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}
