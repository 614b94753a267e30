use std::time::Duration;

use kernel::prelude::*;

/// A VM to start.
#[derive(Clone, Debug)]
pub struct VmLayout {
    /// Region and failure domain.
    pub place: Place,
}

/// A backend server to start.
#[derive(Clone, Debug)]
pub struct BackendLayout {
    /// Service of the backend server.
    pub service: ServiceId,
    /// Region and failure domain.
    pub place: Place,
    /// Number of slots.
    pub slots: u32,
}

/// VMs and backend servers of a fleet, with their settings.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// VMs.
    pub vms: Vec<VmLayout>,
    /// Backend servers.
    pub backends: Vec<BackendLayout>,
    /// Median service time of the backend servers.
    pub median_time: Duration,
    /// 99th percentile of the service time of the backend servers.
    pub p99_time: Duration,
    /// Lease of the sessions of VMs.
    pub session_lease: Duration,
    /// Settings that are merged into those of every VM.
    pub settings: serde_json::Value,
}

impl FleetLayout {
    /// Creates a layout that assigns VMs and backend servers to the places in turn.
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
