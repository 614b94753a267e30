use http::{HeaderValue, Response, Uri, header};
use kernel::VmEntry;
use kernel::prelude::*;
use retry::issue_prefix;
use serde::Serialize;

use crate::body::{Body, full};
use crate::fleet::Fleet;

/// One address that a caller may connect to.
#[derive(Debug, Serialize)]
struct EntryAddress {
    /// Address.
    address: std::net::SocketAddr,
    /// Prefix of idempotency keys; the caller appends its own text.
    idempotency_prefix: Box<str>,
}

/// The response to an entry request.
#[derive(Debug, Serialize)]
struct Entry {
    service: ServiceId,
    region: RegionId,
    ttl_ms: u64,
    addresses: Vec<EntryAddress>,
}

/// Prefix of keys that the VM may run. A VM that this one has not heard yet has no known uptime;
/// then this VM runs the requests itself and hands them to the home.
fn prefix(fleet: &dyn Fleet, vm: &VmEntry) -> Box<str> {
    match fleet.vm_uptime(vm.incarnation) {
        Some(up) => issue_prefix(vm.incarnation, up.as_secs()),
        None => issue_prefix(fleet.this_vm().incarnation, fleet.now().as_secs()),
    }
}

/// Answers which addresses to use for a service, best first.
pub fn resolve(
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
    let region = query("region").unwrap_or(&fleet.this_vm().place.region);
    let mut vms = fleet.homes(service, region);
    vms.truncate(count);
    if vms.is_empty() {
        // No VM of the region is known here; this VM is better than none.
        vms.push(fleet.this_vm().clone());
    }
    let addresses = vms
        .into_iter()
        .map(|vm| EntryAddress { address: vm.callers, idempotency_prefix: prefix(fleet, &vm) })
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
