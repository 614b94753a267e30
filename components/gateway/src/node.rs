use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use adapter::{BootConfig, StoreClient, StoreTimeouts};
use arc_swap::{ArcSwap, ArcSwapOption};
use dispatch::{
    Backends, CrashSuspects, Distance, Election, GatewayConfig, PlacementWeights, Quota,
};
use kernel::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::knowledge::Knowledge;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::pool::Pools;
use crate::state::State;

/// One gateway process.
pub struct Node {
    /// The platform's settings; replaced when the file changes.
    pub boot: ArcSwap<BootConfig>,
    /// Timings.
    pub options: Options,
    /// This process start.
    pub vm: Incarnation,
    /// Configuration in force; none before the first.
    pub catalogue: ArcSwapOption<GatewayConfig>,
    /// Copies of what the store says, for other VMs.
    pub knowledge: Mutex<Knowledge>,
    /// Connections to backend servers.
    pub pools: Pools,
    /// Socket for datagrams of other VMs.
    pub socket: UdpSocket,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Wakes the loop that sends beats.
    pub beat: Notify,
    /// Wakes requests that wait for the first configuration.
    pub configured: Notify,
    /// Wakes the watches of the store when this VM has to watch.
    pub watch: Notify,
    state: Mutex<State>,
    started: Instant,
    /// When the process was asked to stop.
    stopping: OnceLock<Instant>,
    random: Mutex<SmallRng>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// A process at its start.
    pub fn new(boot: BootConfig, options: Options, seed: u64, socket: UdpSocket) -> Arc<Self> {
        let mut random = SmallRng::seed_from_u64(seed);
        let vm = random.random::<u64>().max(1);
        let power = boot.cpu_cores;
        let state = State {
            backends: Backends::default(),
            entries: Default::default(),
            services: Default::default(),
            quota: Quota::default(),
            crashes: CrashSuspects::default(),
            splits: Default::default(),
            usual: Default::default(),
            election: Election::new(Uptime::ZERO, vm, power),
            local_vms: Default::default(),
            homes: Default::default(),
            announced: None,
            home_heard: None,
            store_seen: None,
            unsent_evidence: Default::default(),
            placement: PlacementWeights::default(),
        };
        Arc::new(Node {
            boot: ArcSwap::from_pointee(boot),
            options,
            vm,
            catalogue: ArcSwapOption::empty(),
            knowledge: Mutex::default(),
            pools: Pools::default(),
            socket,
            metrics: Metrics::new(),
            beat: Notify::new(),
            configured: Notify::new(),
            watch: Notify::new(),
            state: Mutex::new(state),
            started: Instant::now(),
            stopping: OnceLock::new(),
            random: Mutex::new(random),
        })
    }

    /// Time since the start of this process.
    pub fn now(&self) -> Uptime {
        self.started.elapsed()
    }

    /// The state; never held over a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Copies of what the store says; never held over a wait.
    pub fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        lock(&self.knowledge)
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        lock(&self.random).random()
    }

    /// VMs of this failure domain that stand before this one in the order of watching.
    pub fn watch_rank(&self, state: &State, now: Uptime) -> u32 {
        if self.catalogue.load().is_some() {
            return state.election.takeover_rank(now);
        }
        state.election.store_read_rank(now)
    }

    /// A client of the store with its own connection.
    pub fn store(&self) -> StoreClient {
        let times = StoreTimeouts {
            connect: self.options.store_answer,
            response: self.options.store_answer,
            page: self.options.store_page,
        };
        StoreClient::new(self.boot.load().store, times)
    }

    /// How far a failure domain is.
    pub fn distance(&self, domain: &str) -> Distance {
        let boot = self.boot.load();
        if *boot.place.domain == *domain {
            return Distance::Domain;
        }
        match boot.domain_regions.get(domain) {
            Some(region) if *region == boot.place.region => Distance::Region,
            _ => Distance::Remote,
        }
    }

    /// Whether it has a configuration and a list of backend servers.
    pub fn is_informed(&self) -> bool {
        self.catalogue.load().is_some() && self.knowledge().backends > 0
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Notes that the process was asked to stop.
    pub fn stop(&self) {
        // Asked twice, it keeps the first time.
        let _ = self.stopping.set(Instant::now());
    }

    /// Time since the process was asked to stop; none before.
    pub fn stopping_for(&self) -> Option<Duration> {
        self.stopping.get().map(Instant::elapsed)
    }
}
