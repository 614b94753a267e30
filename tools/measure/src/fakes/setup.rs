use std::time::Duration;

use kernel::Uptime;

use super::Script;

/// Which fleet serves the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Forty VMs, each alone with the naive plug-ins.
    Naive,
    /// One home in each region with the chosen plug-ins.
    Chosen,
    /// One home in each region that knows every fault.
    Omniscient,
}

/// A run.
pub struct Setup {
    /// The fleet.
    pub kind: Kind,
    /// Backend servers; the first half is in the first region.
    pub backends: usize,
    /// Slots of each.
    pub slots: u32,
    /// Requests per second of the whole service at a time.
    pub rate: Box<dyn Fn(Uptime) -> f64>,
    /// Highest value of `rate`.
    pub peak: f64,
    /// What goes wrong.
    pub script: Script,
    /// Length of the run.
    pub length: Duration,
    /// Requests from then on are counted.
    pub count_from: Uptime,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Weight of the counted requests.
    pub asked: f64,
    /// Weight of those answered correctly and in time.
    pub answered: f64,
    /// Ejections of backend servers without a gray failure.
    pub false_ejections: u32,
    /// All ejections.
    pub ejections: u32,
    /// Suspicions of backend servers without a gray failure.
    pub false_suspicions: u32,
    /// Polls at which more backend servers were ejected than the floor allows.
    pub below_floor: u32,
    /// From the first fault until no VM sent new work for 5 s; none if that never happened.
    pub detected: Option<Duration>,
    /// Ordinary requests sent to the first gray backend server after that.
    pub relapsed: u32,
    /// Retries and hedges as a part of all requests.
    pub extra: f64,
}
