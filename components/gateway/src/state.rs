use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use dispatch::{
    BackendEntry, BackendKey, Backends, CrashSuspects, DomainShare, Election, Evidence,
    OutcomeWindow, PermitAddress, PermitRequests, PlacementWeights, PullSources, Quota,
    QuotaDecision, StartKey, TrafficSplit, WaitQueue, Waiter, WaiterId, WindowedRetryBudget,
};
use kernel::prelude::*;
use tokio::sync::oneshot;

use crate::datagram::HeartbeatMessage;

/// EWMA smoothing factor of a route's estimates.
const ESTIMATE_ALPHA: f64 = 0.05;
/// Expected service time before the first response, in seconds.
const INITIAL_TIME_S: f64 = 0.3;
/// Expected size of request and response before the first response, in kilobytes.
const INITIAL_SIZE_KB: f64 = 3.0;

/// Expected service time and size of a route's requests, as EWMAs.
#[derive(Clone, Copy, Debug)]
pub struct RouteEstimate {
    /// Service time at a backend server, in seconds.
    pub time_s: f64,
    /// Size of request and response, in kilobytes.
    pub size_kb: f64,
}

impl Default for RouteEstimate {
    fn default() -> Self {
        RouteEstimate { time_s: INITIAL_TIME_S, size_kb: INITIAL_SIZE_KB }
    }
}

impl RouteEstimate {
    /// Expected service time.
    pub fn time(&self) -> Duration {
        Duration::from_secs_f64(self.time_s)
    }

    /// Records a successful request. A sample counts for at most six times the expected time.
    pub fn record(&mut self, time: Duration, bytes: usize) {
        self.time_s += ESTIMATE_ALPHA * (time.as_secs_f64().min(self.time_s * 6.0) - self.time_s);
        self.size_kb += ESTIMATE_ALPHA * (bytes as f64 / 1000.0 - self.size_kb);
    }
}

/// A request that waits for a slot.
pub struct QueuedRequest {
    /// Its order in the queue.
    pub waiter: Waiter,
    /// Input of its placement.
    pub params: PlacementParams,
    /// Receives the backend server whose slot it gets.
    pub wake: oneshot::Sender<BackendKey>,
}

/// Input of a placement, owned so that it can wait in the queue.
#[derive(Clone, Debug)]
pub struct PlacementParams {
    /// Service of the request.
    pub service: ServiceId,
    /// Value of a success.
    pub value: f64,
    /// Whether the request can be retried after a failure.
    pub retryable: bool,
    /// Expected service time and size.
    pub estimate: RouteEstimate,
    /// Size of the body, in kilobytes.
    pub body_kb: f64,
    /// When the latency objective of the route expires.
    pub objective_deadline: Uptime,
    /// When the caller must have a response.
    pub deadline: Uptime,
    /// Backend servers that were tried before.
    pub tried: Vec<BackendKey>,
}

/// State of one service on this VM.
#[derive(Default)]
pub struct ServiceState {
    /// Order of the waiting requests.
    pub queue: WaitQueue,
    /// Waiting requests.
    pub queued: HashMap<WaiterId, QueuedRequest>,
    /// Budget for retries and hedges; `None` before the first configuration.
    pub retry_budget: Option<WindowedRetryBudget>,
    /// Outcomes of recent requests.
    pub outcomes: OutcomeWindow,
    /// When a retryable request was last placed.
    pub last_retryable: Option<Uptime>,
    /// Requests for permits while requests wait.
    pub asks: PermitAsks,
}

/// When this VM has asked for permits for the waiting requests of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PermitAsks {
    /// When it last asked.
    pub last: Option<Uptime>,
    /// How often it has asked in a row.
    pub round: u32,
    /// Number of requests that wait for no more than the response of an owner.
    pub brief_waits: u32,
}

/// Evidence not yet sent to the leaders: failures, and successes since the last failure.
pub type UnsentEvidence = BTreeMap<BackendId, (u8, u8)>;

/// The leader of another failure domain.
#[derive(Clone, Debug)]
pub struct OtherLeader {
    /// Its last heartbeat.
    pub heartbeat: HeartbeatMessage,
    /// When the heartbeat was received.
    pub received_at: Uptime,
}

/// State that requests read and change. Its lock must not be held across an await.
pub struct State {
    /// State of the backend servers.
    pub backends: Backends,
    /// Entries of backend servers as listed in the store.
    pub entries: BTreeMap<BackendId, BackendEntry>,
    /// State of the services.
    pub services: HashMap<ServiceId, ServiceState>,
    /// Rate limits of the organisations.
    pub quota: Quota,
    /// Requests that crashed backend servers.
    pub crash_suspects: CrashSuspects,
    /// Traffic split of each route with several services.
    pub traffic_splits: HashMap<RouteId, TrafficSplit>,
    /// Expected service times and sizes by route.
    pub estimates: HashMap<RouteId, RouteEstimate>,
    /// Election of the leader of this failure domain.
    pub election: Election,
    /// Requests that wait for a token of the leader.
    pub token_waits: HashMap<u64, oneshot::Sender<QuotaDecision>>,
    /// Retries to charge to the leader, less the tokens to return to it.
    pub unsent_charges: BTreeMap<OrganisationId, i32>,
    /// What this VM may spend of its failure domain's shares in the rates.
    pub domain_share: DomainShare,
    /// Last heartbeats of the other VMs of this failure domain.
    pub local_vms: HashMap<Incarnation, HeartbeatMessage>,
    /// Addresses of VMs of this failure domain that stop, and when they said so. They serve callers
    /// for a while and need the same messages.
    pub leaving_vms: HashMap<SocketAddr, Uptime>,
    /// VMs from which newer data can be pulled.
    pub pull_sources: PullSources,
    /// Leaders of other failure domains.
    pub other_leaders: HashMap<DomainId, OtherLeader>,
    /// When this VM announced itself to the others of its failure domain.
    pub announced_at: Option<Uptime>,
    /// When the leader of this failure domain last sent a heartbeat.
    pub leader_seen: Option<Uptime>,
    /// When the store last responded to another VM of this failure domain, by its heartbeats.
    pub store_seen: Option<Uptime>,
    /// Evidence to send to the leaders.
    pub unsent_evidence: UnsentEvidence,
    /// Starts of backend servers whose notices were not sent to other VMs yet.
    pub unsent_notices: BTreeSet<StartKey>,
    /// Starts of backend servers whose request limits were not sent to other VMs yet.
    pub unsent_limits: BTreeSet<StartKey>,
    /// Permits that other VMs ask this one for.
    pub permit_requests: PermitRequests,
    /// Permits given to other VMs that were not sent yet.
    pub unsent_permits: Vec<(PermitAddress, StartKey)>,
    /// When the requests to backend servers with a request limit were last logged.
    pub limits_logged_at: Uptime,
    /// Weights of the placement decision.
    pub placement_weights: PlacementWeights,
}

impl State {
    /// Records evidence that this VM has observed, and queues it for the leaders.
    pub fn observe(&mut self, now: Uptime, key: BackendKey, evidence: Evidence) {
        let gray_before = self.backends.gray_probability(now, key);
        self.backends.observe(now, key, evidence);
        let Some(state) = self.backends.get(key) else { return };
        let unsent_evidence = self.unsent_evidence.entry(state.entry.id.clone());
        match evidence {
            Evidence::Failure => {
                let unsent = unsent_evidence.or_default();
                unsent.0 = unsent.0.saturating_add(1);
                unsent.1 = 0;
            }
            // Other VMs need a success only if they may hold the backend server to be gray.
            Evidence::Success if gray_before > 0.5 => {
                let unsent = unsent_evidence.or_default();
                unsent.1 = unsent.1.saturating_add(1);
            }
            // A connection that broke here says nothing about connections from other VMs.
            _ => {}
        }
    }
}
