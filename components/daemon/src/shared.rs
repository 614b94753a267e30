use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::ArcSwap;
use config::{ConfigStore, FleetConfig, Lookup};
use kernel::prelude::*;
use kernel::{EjectReason, Limiter, Platform, VmEntry, VmState};
use membership::Membership;
use peers::{EjectedBackend, Peers};
use proxy::Engine;
use rights::Holder;
use settings::Settings;
use telemetry::Metrics;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::flags::Flags;
use crate::instrumented_platform::instrument;
use crate::key_claims::ClaimBudget;
use crate::overflow::Overflow;
use crate::random::{Random, new_incarnation};
use crate::recent_deltas::RecentDeltas;
use crate::recent_requests::RecentRequests;
use crate::request_metrics::RequestMetrics;
use crate::rights::RateRequest;
use crate::view::View;

/// State of this VM that its tasks share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// Generator of random numbers.
    pub random: Arc<Random>,
    /// This VM.
    pub this_vm: VmEntry,
    /// Status flags.
    pub flags: Flags,
    /// Metrics of the request path.
    pub request_metrics: RequestMetrics,
    /// Configuration in force. Its version never decreases.
    pub lookup: ArcSwap<Lookup>,
    /// Deltas for VMs that are behind.
    pub recent_deltas: RecentDeltas,
    /// The last requests of this VM.
    pub recent_requests: RecentRequests,
    /// Live VMs.
    pub view: ArcSwap<View>,
    /// Platform.
    pub platform: Platform,
    /// Configuration store in the platform.
    pub store: ConfigStore,
    /// Connections to the other VMs.
    pub peers: Peers,
    /// Rights held under this VM's session.
    pub holder: tokio::sync::Mutex<Holder>,
    /// Channel for requests to claim or release units of rates.
    pub rate_requests: mpsc::UnboundedSender<RateRequest>,
    /// Serializes changes of the configuration in force.
    pub install_lock: tokio::sync::Mutex<()>,
    /// Backend servers ejected by this VM, with reason and time.
    ejected: Mutex<HashMap<(ServiceId, BackendId), (EjectReason, Uptime)>>,
    overflow: Mutex<Overflow>,
    claim_budget: Mutex<ClaimBudget>,
    /// Organisations whose rate the limiter knows. Lock `limiter` first.
    known_rates: Mutex<HashSet<OrganisationId>>,
    membership: Mutex<Membership>,
    limiter: Mutex<Box<dyn Limiter>>,
    engine: OnceLock<Arc<Engine>>,
}

impl Shared {
    /// Creates the state of a VM that has just started.
    pub fn new(
        settings: Settings,
        platform: Platform,
        limiter: impl FnOnce(Incarnation) -> Result<Box<dyn Limiter>, kernel::RegistryError>,
        rate_requests: mpsc::UnboundedSender<RateRequest>,
    ) -> Result<Arc<Self>, kernel::RegistryError> {
        let clock = Clock::start();
        let random = Arc::new(Random::new(settings.seed));
        let metrics = Arc::new(Metrics::new());
        let platform = instrument(platform, Arc::clone(&metrics));
        let this_vm = VmEntry {
            vm: settings.vm.clone(),
            incarnation: new_incarnation(),
            place: settings.place.clone(),
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            state: VmState::Live,
        };
        let source = Arc::clone(&random);
        let secret: Box<[u8]> = settings.secrets.fleet.reveal().as_bytes().into();
        let peers = Peers::new(this_vm.incarnation, secret, Arc::new(move || source.next()));
        let table = Arc::clone(&platform.table);
        let lease = settings.session.lease;
        let holder = Holder::new(table, this_vm.incarnation, lease, Arc::new(move || clock.now()));
        let store = ConfigStore::new(Arc::clone(&platform.table), Arc::clone(&platform.objects));
        let empty = Lookup::new(Arc::new(FleetConfig::default()));
        Ok(Arc::new(Shared {
            limiter: Mutex::new(limiter(this_vm.incarnation)?),
            membership: Mutex::new(Membership::new(clock.now(), this_vm.clone())),
            view: ArcSwap::from_pointee(View::new(vec![this_vm.clone()])),
            lookup: ArcSwap::from_pointee(empty),
            holder: tokio::sync::Mutex::new(holder),
            install_lock: tokio::sync::Mutex::default(),
            ejected: Mutex::default(),
            overflow: Mutex::default(),
            claim_budget: Mutex::default(),
            known_rates: Mutex::default(),
            flags: Flags::default(),
            request_metrics: RequestMetrics::new(metrics),
            recent_deltas: RecentDeltas::default(),
            recent_requests: RecentRequests::default(),
            engine: OnceLock::new(),
            settings,
            clock,
            random,
            this_vm,
            platform,
            store,
            peers,
            rate_requests,
        }))
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Uptime {
        self.clock.now()
    }

    /// Configuration version in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.lookup.load().config.version
    }

    /// Locks the membership protocol.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the rate limiter.
    pub fn limiter(&self) -> MutexGuard<'_, Box<dyn Limiter>> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the set of organisations whose rate the limiter knows. The caller must hold the lock
    /// of the limiter.
    pub fn known_rates(&self) -> MutexGuard<'_, HashSet<OrganisationId>> {
        self.known_rates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the rate limiter and makes sure that it knows the organisation's rate.
    ///
    /// Rates are set on first use: a limiter with all 480,000 organisations would take 50 MB on
    /// every VM.
    pub fn limiter_for(&self, organisation: &str) -> MutexGuard<'_, Box<dyn Limiter>> {
        let mut limiter = self.limiter();
        let mut known_rates = self.known_rates();
        if !known_rates.contains(organisation) {
            // No change of the rate is missed: a change first puts the new configuration in force
            // and then takes the lock of the limiter, which is held here.
            let lookup = self.lookup.load();
            if let Some(found) = lookup.config.organisations.get(organisation) {
                limiter.set_rate(self.now(), organisation, Some(found.rate));
                known_rates.insert(organisation.into());
            }
        }
        drop(known_rates);
        limiter
    }

    /// Locks the budget for claims of caller-generated idempotency keys.
    pub fn claim_budget(&self) -> MutexGuard<'_, ClaimBudget> {
        self.claim_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state of the overflow to other regions.
    pub fn overflow(&self) -> MutexGuard<'_, Overflow> {
        self.overflow.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The request path; `None` until the first configuration is loaded.
    pub fn engine(&self) -> Option<&Arc<Engine>> {
        self.engine.get()
    }

    /// Sets the request path. Only the first call has an effect.
    pub fn set_engine(&self, engine: Arc<Engine>) {
        let _ = self.engine.set(engine);
    }

    /// Records that this VM has ejected a backend server, or restored it if `reason` is `None`.
    pub fn set_ejected(&self, service: &str, backend: &str, reason: Option<EjectReason>) {
        let mut ejected = self.ejected.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (service.into(), backend.into());
        match reason {
            Some(reason) => drop(ejected.insert(key, (reason, self.now()))),
            None => drop(ejected.remove(&key)),
        }
    }

    /// Returns the backend servers ejected by this VM.
    pub fn ejections(&self) -> Vec<EjectedBackend> {
        let now = self.now();
        let ejected = self.ejected.lock().unwrap_or_else(PoisonError::into_inner);
        ejected
            .iter()
            .map(|((service, backend), (reason, at))| EjectedBackend {
                service: service.clone(),
                backend: backend.clone(),
                reason: *reason,
                since_ms: u64::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }

    /// Records whether a request to the platform's table succeeded, and logs a change.
    pub fn record_store_result(&self, succeeded: bool) {
        if self.flags.set_store_unreachable(!succeeded) {
            if succeeded {
                telemetry::event!(STORE_BACK);
            } else {
                telemetry::event!(STORE_AWAY);
            }
        }
    }
}
