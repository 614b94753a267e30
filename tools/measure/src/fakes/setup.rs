use std::time::Duration;

use kernel::Uptime;

use super::FaultSchedule;

/// Kind of fleet that serves the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FleetKind {
    /// Forty VMs with the naive plug-ins, each of which decides alone.
    Naive,
    /// One home in each region with the chosen plug-ins.
    Chosen,
    /// One home in each region that knows every fault; the reference for the answered weight.
    Omniscient,
}

/// Parameters of a run.
pub struct Setup {
    /// Kind of fleet.
    pub kind: FleetKind,
    /// Number of backend servers; the first half is in the first region.
    pub backends: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Requests per second of the whole service, by time.
    pub rate: Box<dyn Fn(Uptime) -> f64>,
    /// Upper bound of `rate`.
    pub max_rate: f64,
    /// Faults and disturbances of the run.
    pub schedule: FaultSchedule,
    /// Duration of the run.
    pub duration: Duration,
    /// Requests that arrive from then on are counted.
    pub counted_from: Uptime,
    /// Seed of the arrivals and service times.
    pub seed: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Total weight of the counted requests.
    pub offered: f64,
    /// Total weight of the counted requests that were answered correctly and in time.
    pub answered: f64,
    /// Ejections of backend servers that had no gray failure.
    pub false_ejections: u32,
    /// All ejections.
    pub ejections: u32,
    /// Suspicions of backend servers that had no gray failure.
    pub false_suspicions: u32,
    /// Polls at which more backend servers were ejected than the floor allows.
    pub below_floor: u32,
    /// Time from the first fault until all VMs had stopped sending new requests to that backend server for
    /// at least 5 s; `None` if they never did.
    pub detection_time: Option<Duration>,
    /// Requests other than trials that were sent to the first gray backend server after its
    /// detection.
    pub sent_after_detection: u32,
    /// Ratio of retries and hedges to requests.
    pub extra_ratio: f64,
}
