use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use kernel::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::{Evidence, GrayDuration, Health, ShedRate};

/// Time that a connection failure keeps a backend server last in line on this VM.
const UNREACHABLE: Duration = Duration::from_millis(1500);
/// Longest time that an unreachable backend server is kept last in line.
const UNREACHABLE_MOST: Duration = Duration::from_secs(6);
/// Pause between two searches for a relay: three connections of VMs that may fail as well.
const SEEK_PAUSE: Duration = Duration::from_millis(1500);
/// Age after which a load report says nothing.
const REPORT_AGE: Duration = Duration::from_millis(600);

new_key_type! {
    /// Key of one start of a backend server.
    pub struct BackendKey;
}

/// One start of a backend server: its id, and when it started if it says so.
pub type BackendStart = (BackendId, u64);

/// A backend server as the platform's list has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendEntry {
    /// Unique id.
    pub id: BackendId,
    /// Time of its start in Unix milliseconds; 0 if it does not say. An id may start again.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it accepts HTTP/1.1 on.
    pub address: SocketAddr,
    /// Where it runs.
    pub domain: DomainId,
    /// Requests that it runs at once. At least 1.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time for which it stays slow after its start.
    pub warmup: Duration,
}

/// How this VM reaches a backend server.
///
/// Answers one-way cuts between a few VMs and some backend servers: a backend server that this VM
/// cannot connect to stays in use through another VM that can.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reachability {
    /// Consecutive failures to connect.
    pub failures: u32,
    /// Until when it is kept last in line, or reached through the relay without another check.
    pub backoff_until: Uptime,
    /// VM through which requests go; none while they are sent directly.
    pub relay: Option<Incarnation>,
    /// When a relay was last looked for.
    pub searched_at: Option<Uptime>,
}

impl Reachability {
    /// Whether it is kept last in line: no connection, and no relay.
    pub fn is_unreachable(&self, now: Uptime) -> bool {
        self.relay.is_none() && now < self.backoff_until
    }

    /// Whether to look for a relay now; notes that it is done.
    pub fn start_search(&mut self, now: Uptime) -> bool {
        let due = self.relay.is_none()
            && self.failures > 0
            && self.searched_at.is_none_or(|at| now.saturating_sub(at) >= SEEK_PAUSE);
        if due {
            self.searched_at = Some(now);
        }
        due
    }

    /// Whether to check now if it can be reached directly again; notes that it is done.
    pub fn start_recheck(&mut self, now: Uptime) -> bool {
        let due = self.relay.is_some() && now >= self.backoff_until;
        if due {
            self.backoff_until = now + UNREACHABLE;
        }
        due
    }
}

/// What this VM knows of one start of a backend server.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// Its entry.
    pub entry: BackendEntry,
    /// Belief about gray failure.
    pub health: Health,
    /// How it was reached.
    pub reachability: Reachability,
    /// Requests of this VM that it has.
    pub in_flight: u32,
    /// Requests that it has of other VMs, and when it said so.
    pub other_load: (u32, Uptime),
    /// Until when it is slow after its start.
    pub cold_until: Uptime,
    /// When it was first listed.
    pub listed_at: Uptime,
    /// When this VM last sent it a request.
    pub last_sent: Option<Uptime>,
    /// When it last refused a request unrun because it was full.
    pub last_full: Option<Uptime>,
    /// How often it refuses requests unrun although it has room.
    pub shed_rate: ShedRate,
}

impl BackendState {
    fn new(now: Uptime, entry: BackendEntry) -> Self {
        BackendState {
            cold_until: now + entry.warmup,
            entry,
            health: Health::new(now),
            reachability: Reachability::default(),
            in_flight: 0,
            other_load: (0, Uptime::ZERO),
            listed_at: now,
            last_sent: None,
            last_full: None,
            shed_rate: ShedRate::default(),
        }
    }

    /// Requests that it has, as far as this VM can tell.
    pub fn load(&self, now: Uptime) -> u32 {
        let (count, at) = self.other_load;
        let fresh = now.saturating_sub(at) < REPORT_AGE;
        self.in_flight + if fresh { count } else { 0 }
    }

    /// Takes a load report: requests that it runs and that wait there.
    pub fn record_load(&mut self, now: Uptime, running: u32, waiting: u32) {
        self.other_load = ((running + waiting).saturating_sub(self.in_flight), now);
    }

    /// Notes a failure to connect.
    pub fn record_unreachable(&mut self, now: Uptime) {
        self.reachability.failures = (self.reachability.failures + 1).min(8);
        let pause = UNREACHABLE * self.reachability.failures;
        self.reachability.backoff_until = now + pause.min(UNREACHABLE_MOST);
    }

    /// Notes that it answered.
    pub fn record_reachable(&mut self) {
        self.reachability = Reachability::default();
    }
}

/// Every backend server that may get work, by service.
#[derive(Debug, Default)]
pub struct Backends {
    states: SlotMap<BackendKey, BackendState>,
    ids: HashMap<BackendId, BackendKey>,
    services: HashMap<ServiceId, Vec<BackendKey>>,
    /// Usual length of gray spells.
    gray_duration: GrayDuration,
}

impl Backends {
    /// Replaces the list. Returns the backend servers that came and those that left.
    pub fn update(
        &mut self,
        now: Uptime,
        entries: &BTreeMap<BackendId, BackendEntry>,
    ) -> (Vec<BackendKey>, Vec<BackendStart>) {
        let mut gone = Vec::new();
        self.states.retain(|_, state| {
            let same = entries.get(&state.entry.id).is_some_and(|e| {
                e.started_ms == state.entry.started_ms
                    && e.address == state.entry.address
                    && e.service == state.entry.service
            });
            if !same {
                gone.push((state.entry.id.clone(), state.entry.started_ms));
            }
            same
        });
        self.ids.retain(|_, key| self.states.contains_key(*key));
        let mut came = Vec::new();
        for entry in entries.values() {
            match self.ids.get(&entry.id).and_then(|key| self.states.get_mut(*key)) {
                Some(state) => state.entry = entry.clone(),
                None => {
                    let key = self.states.insert(BackendState::new(now, entry.clone()));
                    self.ids.insert(entry.id.clone(), key);
                    came.push(key);
                }
            }
        }
        self.services.clear();
        for (key, state) in &self.states {
            self.services.entry(state.entry.service.clone()).or_default().push(key);
        }
        (came, gone)
    }

    /// The backend servers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (BackendKey, &BackendState)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| Some((*key, self.states.get(*key)?)))
    }

    /// One backend server; none once it has left.
    pub fn get(&self, key: BackendKey) -> Option<&BackendState> {
        self.states.get(key)
    }

    /// One backend server; none once it has left.
    pub fn get_mut(&mut self, key: BackendKey) -> Option<&mut BackendState> {
        self.states.get_mut(key)
    }

    /// A backend server by its id.
    pub fn find(&self, id: &str) -> Option<BackendKey> {
        self.ids.get(id).copied()
    }

    /// All backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (BackendKey, &BackendState)> {
        self.states.iter()
    }

    /// All backend servers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (BackendKey, &mut BackendState)> {
        self.states.iter_mut()
    }

    /// Takes a backend server out before the list says so, as when another has its address.
    pub fn remove(&mut self, key: BackendKey) {
        if let Some(state) = self.states.remove(key) {
            self.ids.remove(&state.entry.id);
            if let Some(keys) = self.services.get_mut(&state.entry.service) {
                keys.retain(|k| *k != key);
            }
        }
    }

    /// Usual length of gray spells.
    pub fn gray_duration(&self) -> GrayDuration {
        self.gray_duration
    }

    /// Probability that a backend server is gray; 0 for one that has left.
    pub fn gray_probability(&self, now: Uptime, key: BackendKey) -> f64 {
        self.states
            .get(key)
            .map_or(0.0, |state| state.health.gray_probability(now, self.gray_duration))
    }

    /// Takes evidence about a backend server.
    pub fn observe(&mut self, now: Uptime, key: BackendKey, evidence: Evidence) {
        if let Some(state) = self.states.get_mut(key) {
            state.health.observe(now, evidence, &mut self.gray_duration);
        }
    }
}
