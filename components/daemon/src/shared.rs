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

use crate::claims::ClaimBudget;
use crate::clock::Clock;
use crate::flags::Flags;
use crate::meters::Meters;
use crate::observed::observe;
use crate::random::{Random, new_incarnation};
use crate::recent::RecentDeltas;
use crate::rights::ClaimRequest;
use crate::spill::Spill;
use crate::trail::Trail;
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
    pub me: VmEntry,
    /// Small facts.
    pub flags: Flags,
    /// Meters of what the request path does.
    pub meters: Meters,
    /// Configuration in force. Its version never goes down.
    pub lookup: ArcSwap<Lookup>,
    /// Deltas for VMs that are behind.
    pub recent: RecentDeltas,
    /// The last requests of this VM.
    pub trail: Trail,
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
    pub claims: mpsc::UnboundedSender<ClaimRequest>,
    /// Serializes changes of the configuration in force.
    pub install: tokio::sync::Mutex<()>,
    /// Backend servers that this VM holds ejected, with the reason and the time.
    ejected: Mutex<HashMap<(ServiceId, BackendId), (EjectReason, Uptime)>>,
    spill: Mutex<Spill>,
    claim_budget: Mutex<ClaimBudget>,
    /// Organisations whose rate the limiter knows. Locked inside of `limiter`.
    rated: Mutex<HashSet<OrganisationId>>,
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
        claims: mpsc::UnboundedSender<ClaimRequest>,
    ) -> Result<Arc<Self>, kernel::RegistryError> {
        let clock = Clock::start();
        let random = Arc::new(Random::new(settings.seed));
        let metrics = Arc::new(Metrics::new());
        let platform = observe(platform, Arc::clone(&metrics));
        let me = VmEntry {
            vm: settings.vm.clone(),
            incarnation: new_incarnation(),
            place: settings.place.clone(),
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            state: VmState::Live,
        };
        let source = Arc::clone(&random);
        let secret: Box<[u8]> = settings.secrets.fleet.reveal().as_bytes().into();
        let peers = Peers::new(me.incarnation, secret, Arc::new(move || source.next()));
        let table = Arc::clone(&platform.table);
        let lease = settings.session.lease;
        let holder = Holder::new(table, me.incarnation, lease, Arc::new(move || clock.now()));
        let store = ConfigStore::new(Arc::clone(&platform.table), Arc::clone(&platform.objects));
        let empty = Lookup::new(Arc::new(FleetConfig::default()));
        Ok(Arc::new(Shared {
            limiter: Mutex::new(limiter(me.incarnation)?),
            membership: Mutex::new(Membership::new(clock.now(), me.clone())),
            view: ArcSwap::from_pointee(View::new(vec![me.clone()])),
            lookup: ArcSwap::from_pointee(empty),
            holder: tokio::sync::Mutex::new(holder),
            install: tokio::sync::Mutex::default(),
            ejected: Mutex::default(),
            spill: Mutex::default(),
            claim_budget: Mutex::default(),
            rated: Mutex::default(),
            flags: Flags::default(),
            meters: Meters::new(metrics),
            recent: RecentDeltas::default(),
            trail: Trail::default(),
            engine: OnceLock::new(),
            settings,
            clock,
            random,
            me,
            platform,
            store,
            peers,
            claims,
        }))
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Uptime {
        self.clock.now()
    }

    /// Version in force.
    pub fn version(&self) -> ConfigVersion {
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
    pub fn rated(&self) -> MutexGuard<'_, HashSet<OrganisationId>> {
        self.rated.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The rate limiter, which knows the rate of the organisation.
    ///
    /// Rates are given on first use: a limiter that knew all 480,000 would take 50 MB on every VM.
    pub fn limiter_for(&self, organisation: &str) -> MutexGuard<'_, Box<dyn Limiter>> {
        let mut limiter = self.limiter();
        let mut rated = self.rated();
        if !rated.contains(organisation) {
            // Read under the lock of the limiter, which a change of the rate takes after it has
            // put the new configuration in force.
            let lookup = self.lookup.load();
            if let Some(found) = lookup.config.organisations.get(organisation) {
                limiter.set_rate(self.now(), organisation, Some(found.rate));
                rated.insert(organisation.into());
            }
        }
        drop(rated);
        limiter
    }

    /// Budget of the claims of caller-made idempotency keys.
    pub fn claim_budget(&self) -> MutexGuard<'_, ClaimBudget> {
        self.claim_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The spill-over to other regions.
    pub fn spill(&self) -> MutexGuard<'_, Spill> {
        self.spill.lock().unwrap_or_else(PoisonError::into_inner)
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
    pub fn note_store(&self, answered: bool) {
        if self.flags.set_store_away(!answered) {
            if answered {
                telemetry::event!(STORE_BACK);
            } else {
                telemetry::event!(STORE_AWAY);
            }
        }
    }
}
