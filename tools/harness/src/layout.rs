use std::time::Duration;

use kernel::prelude::*;

/// A VM to start.
#[derive(Clone, Debug)]
pub struct VmLayout {
    /// Where it runs.
    pub place: Place,
}

/// A backend server to start.
#[derive(Clone, Debug)]
pub struct BackendLayout {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it runs.
    pub place: Place,
    /// Slots.
    pub slots: u32,
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// VMs.
    pub vms: Vec<VmLayout>,
    /// Backend servers.
    pub backends: Vec<BackendLayout>,
    /// Median service time.
    pub median_time: Duration,
    /// 99th percentile of the service time.
    pub p99_time: Duration,
    /// Lease of a session.
    pub session_lease: Duration,
    /// Fields that are merged into each VM's settings.
    pub settings: serde_json::Value,
}

impl FleetLayout {
    /// VMs and backend servers spread evenly over these places.
    pub fn spread(
        places: &[(&str, &str)],
        vms: usize,
        services: &[(&str, usize)],
        slots: u32,
    ) -> Self {
        let place = |i: usize| {
            let (region, domain) = places[i % places.len()];
            Place { region: region.into(), domain: domain.into() }
        };
        let backends = services.iter().flat_map(|(service, count)| {
            (0..*count).map(move |i| BackendLayout {
                service: (*service).into(),
                place: place(i),
                slots,
            })
        });
        FleetLayout {
            vms: (0..vms).map(|i| VmLayout { place: place(i) }).collect(),
            backends: backends.collect(),
            median_time: Duration::from_millis(20),
            p99_time: Duration::from_millis(80),
            session_lease: Duration::from_secs(4 * 3600),
            settings: serde_json::json!({}),
        }
    }
}
