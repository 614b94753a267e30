//! Measures the memory of a configuration of the design size: 480,000 organisations with a key
//! each, 54,000 routes, 1,800 services with 84,000 backend servers.

use std::time::{Duration, Instant};

use config::{
    Change, ChangeSet, FleetConfig, Lookup, Organisation, Route, Service, apply, decode,
    digest_key, encode,
};
use kernel::{BackendLimits, BackendSpec, Place, Rate};

const ORGANISATIONS: u32 = 480_000;
const ROUTES: u32 = 54_000;
const SERVICES: u32 = 1_800;
const BACKENDS: u32 = 84_000;

/// A value in MB from the status of this process; `None` where the system does not provide it.
fn read_status_mb(field: &str) -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
}

fn print_memory(label: &str, start: Instant) {
    match read_status_mb("VmRSS:") {
        Some(resident) => println!("{label:45} {resident:7.1} MB {:9.1?}", start.elapsed()),
        None => println!("{label:45}       ? MB {:9.1?}", start.elapsed()),
    }
}

fn build_config() -> FleetConfig {
    let mut config = FleetConfig::default();
    for i in 0..ORGANISATIONS {
        let rate = Rate { per_second: f64::from(i % 100), burst: 20.0 };
        let id = config::Name::from(format!("organisation-{i:06}"));
        config.organisations.insert(id.clone(), Organisation { rate, weight: 1.0 });
        let key = config::Key { organisation: id, withdrawn: false };
        config.keys.insert(digest_key(&i.to_be_bytes()), key);
    }
    for i in 0..SERVICES {
        let backend = |j: u32| BackendSpec {
            id: format!("backend-{j:03}").into(),
            address: ([127, 0, 0, 1], 7000).into(),
            place: Place { region: "dakar".into(), domain: "dakar-plateau".into() },
            limits: BackendLimits { slots: 2, connections: 300 },
            draining: false,
        };
        let backends = (0..BACKENDS / SERVICES).map(backend).collect();
        config
            .services
            .insert(format!("service-{i:04}").into(), Service { min_healthy: 0.5, backends });
    }
    for i in 0..ROUTES {
        let route = Route {
            prefix: format!("/service-{:04}/part-{i:05}", i % SERVICES).into(),
            methods: vec!["GET".into(), "HEAD".into()],
            service: format!("service-{:04}", i % SERVICES).into(),
            public: false,
            idempotent: true,
            weight: 1.0,
            deadline: Duration::from_secs(1),
            organisations: vec![],
        };
        config.routes.insert(format!("route-{i:05}").into(), route);
    }
    config
}

fn main() {
    let start = Instant::now();
    print_memory("empty process", start);
    let mut config = build_config();
    print_memory("configuration", start);
    let start = Instant::now();
    let lookup = Lookup::new(config.clone().into());
    print_memory("and its lookup", start);
    let start = Instant::now();
    for i in 0..100_u32 {
        let id = format!("organisation-{:06}", i * 4_000).into();
        let organisation = Organisation { rate: Rate { per_second: 7.0, burst: 9.0 }, weight: 1.0 };
        let set = ChangeSet {
            change_id: format!("c{i}").into(),
            base_version: config.version,
            changes: vec![Change::PutOrganisation { id, organisation }],
        };
        match apply(&config, &set) {
            Ok((next, _)) => config = next,
            Err(error) => println!("{error}"),
        }
    }
    print_memory("and 100 changes, the first version kept", start);
    let start = Instant::now();
    let changed = config.organisations.changes_since(&lookup.config.organisations).count();
    assert_eq!(changed, 100);
    print_memory("and its 100 changes found again", start);
    let start = Instant::now();
    for i in 0..1_000_u32 {
        let key = config.keys.get(&digest_key(&(i * 400).to_be_bytes()));
        assert!(key.is_some(), "key {i} is missing");
    }
    print_memory("and 1,000 keys looked up", start);
    drop(lookup);
    let start = Instant::now();
    let bytes = match encode(&config) {
        Ok(bytes) => bytes,
        Err(error) => return println!("{error}"),
    };
    print_memory(&format!("and a snapshot of {:.1} MB", bytes.len() as f64 / 1e6), start);
    drop(config);
    let start = Instant::now();
    match decode(&bytes) {
        Ok(config) => {
            print_memory("the configuration read back, and the snapshot", start);
            assert_eq!(config.keys.len(), ORGANISATIONS as usize);
        }
        Err(error) => println!("{error}"),
    }
    println!("peak memory {:.1} MB", read_status_mb("VmHWM:").unwrap_or(f64::NAN));
}
