use std::time::Duration;

use config::{Change, Organisation, Route, Service, digest_key};
use kernel::prelude::*;

use crate::fleet::Fleet;
use crate::layout::FleetLayout;

/// Key of the organisation `radio-umea`, which may use every route.
pub const KEY: &str = "papk-sample-key-of-radio-umea-5f1c";
/// Key of the organisation `radio-malmo`, which may not use `/sluten`.
pub const RESTRICTED_KEY: &str = "papk-sample-key-of-radio-malmo-77aa";
/// Second key of `radio-umea`, for tests that withdraw it.
pub const KEY_TO_WITHDRAW: &str = "papk-sample-key-to-withdraw-90e2";
/// Regions and failure domains over which the sample fleet is spread in turn.
const SAMPLE_PLACES: &[(&str, &str)] = &[("norrland", "umea-a"), ("gotaland", "malmo-a")];

/// Returns the layout of the given number of VMs in two regions and six backend servers of two
/// services.
pub fn sample_layout(vms: usize) -> FleetLayout {
    let mut layout = FleetLayout::spread(SAMPLE_PLACES, vms, &[("manus", 3), ("sandning", 3)], 8);
    layout.settings = serde_json::json!({"entry": {"homes": 8}, "log": {"level": "debug"}});
    layout
}

/// Returns the sample configuration. Its routes are `/manus` (idempotent), `/sandning` (not
/// idempotent), `/sluten` (for `radio-umea` only) and `/fri` (public, without a key).
pub fn sample_changes(fleet: &Fleet) -> Vec<Change> {
    let mut changes = Vec::new();
    for service in ["manus", "sandning"] {
        let backends = fleet.backend_specs(service);
        changes.push(Change::PutService {
            id: service.into(),
            service: Service { min_healthy: 0.3, backends },
        });
    }
    for name in ["radio-umea", "radio-malmo"] {
        // Far above the rate of the tests, so that no request is refused for its rate.
        let rate = Rate { per_second: 20_000.0, burst: 20_000.0 };
        let organisation = Organisation { rate, weight: 1.0 };
        changes.push(Change::PutOrganisation { id: name.into(), organisation });
    }
    for (name, service) in
        [("manus", "manus"), ("sandning", "sandning"), ("sluten", "manus"), ("fri", "manus")]
    {
        let route = Route {
            prefix: format!("/{name}").into(),
            methods: Vec::new(),
            service: service.into(),
            public: name == "fri",
            idempotent: service == "manus",
            weight: 1.0,
            deadline: Duration::from_secs(20),
            organisations: if name == "sluten" { vec!["radio-umea".into()] } else { Vec::new() },
        };
        changes.push(Change::PutRoute { id: name.into(), route });
    }
    for (key, organisation) in
        [(KEY, "radio-umea"), (KEY_TO_WITHDRAW, "radio-umea"), (RESTRICTED_KEY, "radio-malmo")]
    {
        let digest = digest_key(key.as_bytes());
        changes.push(Change::IssueKey { digest, organisation: organisation.into() });
    }
    changes
}
