use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use adapter::{BootConfig, KnownEra, StoreClient, StoreTimeouts};
use arc_swap::{ArcSwap, ArcSwapOption};
use dispatch::{
    Backends, CrashSuspects, Distance, Election, GatewayConfig, PlacementWeights, Quota,
    StopSchedule, may_start_serving,
};
use kernel::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::body::BodyStore;
use crate::connection_progress::Connections;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::pool::Pools;
use crate::running_requests::RunningRequests;
use crate::state::State;
use crate::store_cache::StoreCache;

/// Part of the memory that bodies of requests may take. The rest holds connections, the list of
/// backend servers and the configuration.
const REQUEST_MEMORY_FRACTION: usize = 4;
/// Part of the memory that bodies of responses may take.
const RESPONSE_MEMORY_FRACTION: usize = 8;
/// Bytes of each response that do not count towards that part.
const SMALL_RESPONSE_BYTES: usize = 16 << 10;

/// VMs to which this one sends much data at the same time: over a slow link, more of them would only
/// delay the first, which is a source for the others as soon as it has the data.
pub const MAX_TRANSFERS: usize = 4;

/// Extra wait for a backend server to report that the deadline has expired there.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(120);

/// State shared by all tasks of a gateway process.
pub struct Node {
    /// The platform's settings for this VM; replaced when their file changes.
    pub boot_config: ArcSwap<BootConfig>,
    /// Timings from the gateway's settings file.
    pub options: Options,
    /// Identifies this process to other VMs; random, new at each start.
    pub incarnation: Incarnation,
    /// Configuration in force; empty until the first one arrives.
    pub config: ArcSwapOption<GatewayConfig>,
    /// Local copy of the store's contents, also served to other VMs.
    pub cache: Mutex<StoreCache>,
    /// Connections to backend servers.
    pub pools: Pools,
    /// Requests of callers that have no response yet.
    pub running: RunningRequests,
    /// Open connections of callers and other VMs.
    pub connections: Connections,
    /// Bodies of callers' requests that this VM holds.
    pub request_bodies: BodyStore,
    /// Bodies of backend servers' responses that this VM holds.
    pub response_bodies: BodyStore,
    /// Socket for datagrams of other VMs.
    pub socket: UdpSocket,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Wakes the task that sends heartbeats.
    pub heartbeat_wake: Notify,
    /// Wakes the task that polls the election.
    pub election_wake: Notify,
    /// Highest era that the store has told.
    pub store_era: KnownEra,
    /// Notified when this VM must write its rows of the store again.
    pub register_wake: Notify,
    /// Notified when the failure domain has another leader.
    pub leader_changed: Notify,
    /// Wakes requests that wait for the first configuration and list of backend servers.
    pub synced: Notify,
    /// Wakes the store watches after a change of role.
    pub watch_wake: Notify,
    /// Wakes the task that pulls newer data, after a heartbeat of another VM.
    pub pull_wake: Notify,
    /// Wakes the task that paces the requests to backend servers with a request limit.
    pub pace_wake: Notify,
    /// Permits to send much data to another VM.
    pub transfers: Arc<Semaphore>,
    state: Mutex<State>,
    started: Instant,
    /// When this VM first had a configuration and a list of backend servers.
    data_since: OnceLock<Uptime>,
    /// Set once the data was confirmed, or cannot be. Never reset: later, only changes of the data
    /// matter, and a watch takes over when it is stale.
    confirmed: AtomicBool,
    /// Cancelled once the process was asked to stop.
    pub stop_begun: CancellationToken,
    /// Schedule of the stop; set before `stop_begun` is cancelled.
    stop: OnceLock<StopSchedule>,
    random: Mutex<SmallRng>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates the state of a starting process.
    pub fn new(
        boot_config: BootConfig,
        options: Options,
        seed: u64,
        socket: UdpSocket,
    ) -> Arc<Self> {
        let mut random = SmallRng::seed_from_u64(seed);
        let incarnation = random.random::<u64>().max(1);
        let capacity = boot_config.cpu_cores;
        let memory = boot_config.memory_bytes;
        let state = State {
            backends: Backends::default(),
            entries: Default::default(),
            services: Default::default(),
            quota: Quota::default(),
            crash_suspects: CrashSuspects::default(),
            traffic_splits: Default::default(),
            estimates: Default::default(),
            election: Election::new(Uptime::ZERO, incarnation, capacity),
            token_waits: Default::default(),
            unsent_charges: Default::default(),
            domain_share: Default::default(),
            local_vms: Default::default(),
            leaving_vms: Default::default(),
            pull_sources: Default::default(),
            other_leaders: Default::default(),
            announced_at: None,
            leader_seen: None,
            store_seen: None,
            unsent_evidence: Default::default(),
            unsent_notices: Default::default(),
            unsent_limits: Default::default(),
            permit_requests: Default::default(),
            unsent_permits: Vec::new(),
            limits_logged_at: Uptime::ZERO,
            placement_weights: PlacementWeights::default(),
        };
        Arc::new(Node {
            boot_config: ArcSwap::from_pointee(boot_config),
            options,
            incarnation,
            config: ArcSwapOption::empty(),
            cache: Mutex::default(),
            pools: Pools::default(),
            running: RunningRequests::default(),
            connections: Connections::default(),
            request_bodies: BodyStore::new(memory / REQUEST_MEMORY_FRACTION, 0),
            response_bodies: BodyStore::new(
                memory / RESPONSE_MEMORY_FRACTION,
                SMALL_RESPONSE_BYTES,
            ),
            socket,
            metrics: Metrics::new(),
            heartbeat_wake: Notify::new(),
            election_wake: Notify::new(),
            store_era: KnownEra::default(),
            register_wake: Notify::new(),
            leader_changed: Notify::new(),
            synced: Notify::new(),
            watch_wake: Notify::new(),
            pull_wake: Notify::new(),
            pace_wake: Notify::new(),
            transfers: Arc::new(Semaphore::new(MAX_TRANSFERS)),
            state: Mutex::new(state),
            started: Instant::now(),
            data_since: OnceLock::new(),
            confirmed: AtomicBool::new(false),
            stop_begun: CancellationToken::new(),
            stop: OnceLock::new(),
            random: Mutex::new(random),
        })
    }

    /// Time since the start of this process.
    pub fn now(&self) -> Uptime {
        self.started.elapsed()
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Locks the copy of the store. The guard must not be held across an await.
    pub fn cache(&self) -> MutexGuard<'_, StoreCache> {
        lock(&self.cache)
    }

    /// Returns a random number in [0, 1) from the seeded generator.
    pub fn random_fraction(&self) -> f64 {
        lock(&self.random).random()
    }

    /// Returns a random number from the seeded generator.
    pub fn random(&self) -> u64 {
        lock(&self.random).random()
    }

    /// Number of VMs of this failure domain that precede this one in taking over the store watch.
    pub fn watch_rank(&self, state: &State, now: Uptime) -> u32 {
        if self.config.load().is_some() {
            let is_failing =
                |vm| state.local_vms.get(&vm).is_some_and(|heartbeat| heartbeat.store_failing);
            return state.election.watch_rank(now, is_failing);
        }
        state.election.store_read_rank(now)
    }

    /// Creates a store client with its own connection.
    pub fn store(&self) -> StoreClient {
        let times = StoreTimeouts {
            connect: self.options.store_timeout,
            response: self.options.store_timeout,
            page: self.options.page_timeout,
        };
        StoreClient::new(self.boot_config.load().store, times, self.store_era.clone())
    }

    /// Distance from this VM to a failure domain.
    pub fn distance(&self, domain: &str) -> Distance {
        let boot_config = self.boot_config.load();
        if *boot_config.place.domain == *domain {
            return Distance::Domain;
        }
        match boot_config.domain_regions.get(domain) {
            Some(region) if *region == boot_config.place.region => Distance::Region,
            _ => Distance::Remote,
        }
    }

    /// Whether this VM has a configuration and a list of backend servers.
    pub fn has_data(&self) -> bool {
        self.config.load().is_some() && self.cache().backends_version > 0
    }

    /// Whether this VM has data with which it may serve.
    pub fn is_synced(&self) -> bool {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// Checks whether the data of a starting VM may be used. Returns whether this has changed.
    pub fn check_confirmed(&self) -> bool {
        if self.is_synced() || !self.has_data() {
            return false;
        }
        let now = self.now();
        let since = *self.data_since.get_or_init(|| now);
        let (staleness, store_failed) = {
            let cache = self.cache();
            (cache.staleness(now), cache.store_failed)
        };
        let confirmed = may_start_serving(staleness, store_failed, now.saturating_sub(since));
        self.confirmed.store(confirmed, Ordering::Relaxed);
        confirmed
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Records that the process was asked to stop, and returns its schedule.
    pub fn begin_stop(&self) -> StopSchedule {
        let grace = self.boot_config.load().fleet_limits.grace_period;
        // A second request to stop keeps the schedule of the first.
        let schedule = *self.stop.get_or_init(|| StopSchedule::new(self.now(), grace));
        self.stop_begun.cancel();
        schedule
    }

    /// Latest time at which a request may be sent to a backend server so that it has its response
    /// before the process ends; `None` while the process is not stopping.
    pub fn send_until(&self, deadline: Uptime, expected: Duration) -> Option<Uptime> {
        let stop = self.stop.get()?;
        Some(stop.send_until(deadline + DEADLINE_MARGIN, expected))
    }

    /// Whether a request may be sent to a backend server now.
    pub fn may_send(&self, deadline: Uptime, expected: Duration) -> bool {
        self.send_until(deadline, expected).is_none_or(|latest| self.now() <= latest)
    }

    /// Time until a stopping process exits; `None` while it is not stopping.
    pub fn time_to_exit(&self) -> Option<Duration> {
        Some(self.stop.get()?.exit_at.saturating_sub(self.now()))
    }

    /// Waits until connections of callers are no longer kept for a request that has begun to arrive.
    pub async fn keeping_ends(&self) {
        self.stop_begun.cancelled().await;
        let end = self.stop.get().map_or(Uptime::ZERO, |stop| stop.keep_until);
        tokio::time::sleep(end.saturating_sub(self.now())).await;
    }

    /// Waits until the requests that are still running must get a response because the process
    /// ends.
    pub async fn answers_due(&self) {
        self.stop_begun.cancelled().await;
        let due = self.stop.get().map_or(Uptime::ZERO, |stop| stop.answer_by);
        tokio::time::sleep(due.saturating_sub(self.now())).await;
    }
}
