use std::time::Duration;

use config::{Change, Organisation, Route, Service, digest_key};
use harness::Fleet;
use kernel::prelude::*;

/// Organisations with their rates in requests per second. The last one sends three times its rate.
pub const ORGANISATIONS: &[(&str, f64)] =
    &[("radio-umea", 200.0), ("radio-malmo", 200.0), ("radio-kiruna", 100.0), ("radio-loud", 20.0)];
/// Services, each with whether its route is idempotent: the first is read, the second is written.
pub const SERVICES: &[(&str, bool)] = &[("manus", true), ("sandning", false)];

/// Returns the API key of an organisation.
pub fn api_key(organisation: &str) -> String {
    format!("demo-key-of-{organisation}")
}

/// Returns the configuration changes that create the services, routes, organisations and keys.
pub fn changes(fleet: &Fleet) -> Vec<Change> {
    let mut changes = Vec::new();
    for (service, idempotent) in SERVICES {
        let backends = fleet.backend_specs(service);
        let id = ServiceId::from(*service);
        changes.push(Change::PutService {
            id: id.clone(),
            service: Service { min_healthy: 0.6, backends },
        });
        let route = Route {
            prefix: format!("/{service}").into(),
            methods: Vec::new(),
            service: id,
            public: false,
            idempotent: *idempotent,
            weight: 1.0,
            deadline: Duration::from_secs(3),
            organisations: Vec::new(),
        };
        changes.push(Change::PutRoute { id: (*service).into(), route });
    }
    for (organisation, rate) in ORGANISATIONS {
        let id = OrganisationId::from(*organisation);
        let rate = Rate { per_second: *rate, burst: *rate };
        let organisation = Organisation { rate, weight: 1.0 };
        changes.push(Change::PutOrganisation { id: id.clone(), organisation });
        changes.push(Change::IssueKey {
            digest: digest_key(api_key(&id).as_bytes()),
            organisation: id,
        });
    }
    changes
}
