use std::time::Duration;

use kernel::prelude::*;

/// A VM to start.
#[derive(Clone, Debug)]
pub struct VmShape {
    /// Where it runs.
    pub place: Place,
}

/// A backend server to start.
#[derive(Clone, Debug)]
pub struct BackendShape {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it runs.
    pub place: Place,
    /// Slots.
    pub slots: u32,
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Shape {
    /// VMs.
    pub vms: Vec<VmShape>,
    /// Backend servers.
    pub backends: Vec<BackendShape>,
    /// Median service time.
    pub median: Duration,
    /// 99th percentile of the service time.
    pub p99: Duration,
    /// Lease of a session.
    pub lease: Duration,
    /// Fields that are merged into each VM's settings.
    pub settings: serde_json::Value,
}

impl Shape {
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
            (0..*count).map(move |i| BackendShape {
                service: (*service).into(),
                place: place(i),
                slots,
            })
        });
        Shape {
            vms: (0..vms).map(|i| VmShape { place: place(i) }).collect(),
            backends: backends.collect(),
            median: Duration::from_millis(20),
            p99: Duration::from_millis(80),
            lease: Duration::from_secs(4 * 3600),
            settings: serde_json::json!({}),
        }
    }
}
