use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::ArcSwap;
use config::{ConfigStore, FleetConfig, Lookup};
use kernel::prelude::*;
use kernel::{EjectReason, Limiter, Platform, VmEntry, VmState};
use membership::Membership;
use peers::{EjectReport, Peers};
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

/// State of one VM that its tasks share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// Generator of random numbers.
    pub random: Arc<Random>,
    /// This VM.
    pub this_vm: VmEntry,
    /// Small facts.
    pub flags: Flags,
    /// RequestMetrics of what the request path does.
    pub request_metrics: RequestMetrics,
    /// Configuration in force. Its version never goes down.
    pub lookup: ArcSwap<Lookup>,
    /// Deltas for VMs that are behind.
    pub recent_deltas: RecentDeltas,
    /// The last requests of this VM.
    pub recent_requests: RecentRequests,
    /// VMs taken for live.
    pub view: ArcSwap<View>,
    /// Platform.
    pub platform: Platform,
    /// Configuration in the platform.
    pub store: ConfigStore,
    /// Connections to the other VMs.
    pub peers: Peers,
    /// Rights held under this VM's session.
    pub holder: tokio::sync::Mutex<Holder>,
    /// Requests for more units of a right.
    pub rate_requests: mpsc::UnboundedSender<RateRequest>,
    /// Serializes changes of the configuration in force.
    pub install_lock: tokio::sync::Mutex<()>,
    /// Backend servers that this VM holds ejected, with the reason and the time.
    ejected: Mutex<HashMap<(ServiceId, BackendId), (EjectReason, Uptime)>>,
    overflow: Mutex<Overflow>,
    claim_budget: Mutex<ClaimBudget>,
    /// Organisations whose rate the limiter knows. Locked inside of `limiter`.
    known_rates: Mutex<HashSet<OrganisationId>>,
    membership: Mutex<Membership>,
    limiter: Mutex<Box<dyn Limiter>>,
    engine: OnceLock<Arc<Engine>>,
}

impl Shared {
    /// State of a VM that has just started.
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

    /// Version in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.lookup.load().config.version
    }

    /// The failure detector.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The rate limiter.
    pub fn limiter(&self) -> MutexGuard<'_, Box<dyn Limiter>> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Organisations whose rate the limiter knows; the caller holds the limiter.
    pub fn known_rates(&self) -> MutexGuard<'_, HashSet<OrganisationId>> {
        self.known_rates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The rate limiter, which knows the rate of the organisation.
    ///
    /// Rates are given on first use: a limiter that knew all 480,000 would take 50 MB on every VM.
    pub fn limiter_for(&self, organisation: &str) -> MutexGuard<'_, Box<dyn Limiter>> {
        let mut limiter = self.limiter();
        let mut known_rates = self.known_rates();
        if !known_rates.contains(organisation) {
            // Read under the lock of the limiter, which a change of the rate takes after it has
            // put the new configuration in force.
            let lookup = self.lookup.load();
            if let Some(found) = lookup.config.organisations.get(organisation) {
                limiter.set_rate(self.now(), organisation, Some(found.rate));
                known_rates.insert(organisation.into());
            }
        }
        drop(known_rates);
        limiter
    }

    /// Budget of the claims of caller-made idempotency keys.
    pub fn claim_budget(&self) -> MutexGuard<'_, ClaimBudget> {
        self.claim_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The spill-over to other regions.
    pub fn overflow(&self) -> MutexGuard<'_, Overflow> {
        self.overflow.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The request path; none until it is set.
    pub fn engine(&self) -> Option<&Arc<Engine>> {
        self.engine.get()
    }

    /// Sets the request path. Only the first call has an effect.
    pub fn set_engine(&self, engine: Arc<Engine>) {
        let _ = self.engine.set(engine);
    }

    /// Notes that this VM holds a backend server ejected, or holds it no more.
    pub fn set_ejected(&self, service: &str, backend: &str, reason: Option<EjectReason>) {
        let mut ejected = self.ejected.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (service.into(), backend.into());
        match reason {
            Some(reason) => drop(ejected.insert(key, (reason, self.now()))),
            None => drop(ejected.remove(&key)),
        }
    }

    /// Backend servers that this VM holds ejected.
    pub fn ejections(&self) -> Vec<EjectReport> {
        let now = self.now();
        let ejected = self.ejected.lock().unwrap_or_else(PoisonError::into_inner);
        ejected
            .iter()
            .map(|((service, backend), (reason, at))| EjectReport {
                service: service.clone(),
                backend: backend.clone(),
                reason: *reason,
                since_ms: u64::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }

    /// Notes whether the platform's table answered.
    pub fn record_store_result(&self, answered: bool) {
        if self.flags.set_store_unreachable(!answered) {
            if answered {
                telemetry::event!(STORE_BACK);
            } else {
                telemetry::event!(STORE_AWAY);
            }
        }
    }
}
