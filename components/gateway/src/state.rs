use std::collections::{BTreeMap, HashMap};

use dispatch::{
    BackendEntry, BackendKey, Backends, CrashSuspects, Election, Evidence, OutcomeWindow,
    PlacementWeights, Quota, RetryBudget, TrafficSplit, WaitQueue, Waiter, WaiterId,
};
use kernel::prelude::*;
use tokio::sync::oneshot;

use crate::datagram::BeatMessage;

/// Weight of a new sample in the usual time and size of a route's requests.
const USUAL_GAIN: f64 = 0.05;
/// Usual time of a request before the first answer.
const FIRST_TIME_S: f64 = 0.3;
/// Usual size of a request and its answer before the first answer.
const FIRST_SIZE_KB: f64 = 3.0;

/// Usual time and size of a route's requests.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    /// Time at a backend server, in seconds.
    pub time: f64,
    /// Bytes of request and answer, in kilobytes.
    pub size: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Usual { time: FIRST_TIME_S, size: FIRST_SIZE_KB }
    }
}

impl Usual {
    /// Takes one whole answer.
    pub fn sample(&mut self, time: Duration, bytes: usize) {
        self.time += USUAL_GAIN * (time.as_secs_f64().min(self.time * 6.0) - self.time);
        self.size += USUAL_GAIN * (bytes as f64 / 1000.0 - self.size);
    }
}

/// A request that waits for room.
pub struct Waiting {
    /// Its place in the line.
    pub waiter: Waiter,
    /// What its placement needs to know.
    pub demand: Demand,
    /// Gets the backend server.
    pub wake: oneshot::Sender<BackendKey>,
}

/// What a placement needs to know of a request, without borrowing it.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Service.
    pub service: ServiceId,
    /// What a success is worth.
    pub worth: f64,
    /// Whether it can be sent once more after a failure.
    pub repeatable: bool,
    /// Usual time and size.
    pub usual: Usual,
    /// When an answer loses its full worth.
    pub due: Uptime,
    /// Backend servers that it was sent to before.
    pub tried: Vec<BackendKey>,
}

/// State of one service on this VM.
#[derive(Default)]
pub struct ServiceState {
    /// Order of those that wait.
    pub room: WaitQueue,
    /// Those that wait.
    pub waiting: HashMap<WaiterId, Waiting>,
    /// Repeats that this VM may send; none before the bounds are known.
    pub allowance: Option<RetryBudget>,
    /// Outcomes of the last seconds.
    pub outcomes: OutcomeWindow,
    /// When a request that can be sent once more was placed last.
    pub repeatable: Option<Uptime>,
}

/// Evidence that has not been sent to other homes: failures and later successes.
pub type UnsentEvidence = BTreeMap<BackendId, (u8, u8)>;

/// A home of another failure domain, or another VM that serves callers in this one.
#[derive(Clone, Debug)]
pub struct OtherHome {
    /// Its last heartbeat.
    pub beat: BeatMessage,
    /// When.
    pub at: Uptime,
}

/// Everything that requests change. Held only between waits.
pub struct State {
    /// Backend servers.
    pub backends: Backends,
    /// Entries of backend servers as the store has them.
    pub entries: BTreeMap<BackendId, BackendEntry>,
    /// Services.
    pub services: HashMap<ServiceId, ServiceState>,
    /// Rates.
    pub quota: Quota,
    /// Requests on which backend servers died.
    pub crashes: CrashSuspects,
    /// Spread of split routes.
    pub splits: HashMap<RouteId, TrafficSplit>,
    /// Usual times and sizes of routes.
    pub usual: HashMap<RouteId, Usual>,
    /// Part of this VM in its failure domain.
    pub election: Election,
    /// VMs of this failure domain by incarnation.
    pub local_vms: HashMap<Incarnation, BeatMessage>,
    /// Homes of other failure domains.
    pub homes: HashMap<DomainId, OtherHome>,
    /// When this VM announced itself to the others of its failure domain.
    pub announced: Option<Uptime>,
    /// When the home of this failure domain was last heard.
    pub home_heard: Option<Uptime>,
    /// When the store last answered another VM, as far as their beats tell.
    pub store_seen: Option<Uptime>,
    /// Evidence for other homes.
    pub unsent_evidence: UnsentEvidence,
    /// Weights of placements.
    pub placement: PlacementWeights,
}

impl State {
    /// Takes evidence that this VM has seen itself.
    pub fn observe(&mut self, now: Uptime, key: BackendKey, evidence: Evidence) {
        let before = self.backends.gray_probability(now, key);
        self.backends.observe(now, key, evidence);
        let Some(state) = self.backends.get(key) else { return };
        let unsent_evidence = self.unsent_evidence.entry(state.entry.id.clone());
        match evidence {
            Evidence::Failure => {
                let unsent = unsent_evidence.or_default();
                unsent.0 = unsent.0.saturating_add(1);
                unsent.1 = 0;
            }
            // A success matters where a failure was sent before.
            Evidence::Success if before > 0.5 => {
                let unsent = unsent_evidence.or_default();
                unsent.1 = unsent.1.saturating_add(1);
            }
            // What broke on the way here says nothing about the way from elsewhere.
            _ => {}
        }
    }
}
