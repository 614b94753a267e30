//! Helpers that build configurations and change sets for the tests.

use std::time::Duration;

use config::{Change, ChangeSet, FleetConfig, Organisation, Route, Service, digest_key};
use kernel::{BackendLimits, BackendSpec, Place, Rate};

/// A change set with this base version.
pub fn set(base_version: u64, change_id: &str, changes: Vec<Change>) -> ChangeSet {
    ChangeSet { change_id: change_id.into(), base_version, changes }
}

/// An organisation with this rate limit.
pub fn organisation(per_second: f64) -> Organisation {
    Organisation { rate: Rate { per_second, burst: 10.0 }, weight: 1.0 }
}

/// A service with this many backend servers.
pub fn service(backends: usize) -> Service {
    let backend = |i| BackendSpec {
        id: format!("b{i}").into(),
        address: ([127, 0, 0, 1], 7000 + i as u16).into(),
        place: Place { region: "dakar".into(), domain: "dakar-plateau".into() },
        limits: BackendLimits { slots: 2, connections: 300 },
        draining: false,
    };
    Service { min_healthy: 0.5, backends: (0..backends).map(backend).collect() }
}

/// A route to a service.
pub fn route(prefix: &str, service: &str) -> Route {
    Route {
        prefix: prefix.into(),
        methods: vec!["GET".into()],
        service: service.into(),
        public: false,
        idempotent: true,
        weight: 1.0,
        deadline: Duration::from_secs(1),
        organisations: vec![],
    }
}

/// Version 1: organisation `sorano` with the key `k1`, service `stock`, route `read`.
pub fn example() -> FleetConfig {
    let changes = vec![
        Change::PutOrganisation { id: "sorano".into(), organisation: organisation(100.5) },
        Change::PutService { id: "stock".into(), service: service(3) },
        Change::PutRoute { id: "read".into(), route: route("/stock", "stock") },
        Change::IssueKey { digest: digest_key(b"k1"), organisation: "sorano".into() },
    ];
    config::apply(&FleetConfig::default(), &set(0, "first", changes)).unwrap().0
}
