use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use kernel::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::{
    Availability, Evidence, GrayDuration, Health, LimitChange, LimitReport, LimitTable, Notice,
    Notices, Pace, PaceRight, RequestLimit, ShedRate, StartKey,
};

/// Time for which a backend server is avoided by this VM after one failure to connect.
const CONNECT_BACKOFF: Duration = Duration::from_millis(1500);
/// Upper bound of that time after several failures in a row.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(6);
/// Interval between two searches for a relay. A search makes up to three VMs connect, which may
/// fail as well.
const RELAY_SEARCH_INTERVAL: Duration = Duration::from_millis(1500);
/// Age after which a load report is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_millis(600);

new_key_type! {
    /// Key of a backend server; a new one after each restart of its process.
    pub struct BackendKey;
}

/// Id and start time of a backend server, as in [`BackendEntry`]. A restart changes the time.
pub type BackendStart = (BackendId, u64);

/// Entry of a backend server in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendEntry {
    /// Unique id. A backend server may keep it over a restart.
    pub id: BackendId,
    /// Start time in Unix milliseconds, which tells two starts under one id apart; 0 if it is not
    /// given.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address on which it accepts HTTP/1.1.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Number of requests that it runs at once. At least 1.
    pub slots: u32,
    /// Whether it is draining and takes no new requests.
    pub draining: bool,
    /// Time for which it is still slow after its start.
    pub warmup: Duration,
}

/// Whether this VM can connect to a backend server, directly or through a relay.
///
/// Handles one-way network cuts between a few VMs and some backend servers: a backend server that
/// this VM cannot connect to stays in use through another VM that can (the relay).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reachability {
    /// Consecutive failures to connect.
    pub failures: u32,
    /// Until when it is avoided. With a relay: when the direct connection is checked next.
    pub backoff_until: Uptime,
    /// VM that relays the requests; none while they are sent directly.
    pub relay: Option<Incarnation>,
    /// When the last search for a relay started.
    pub searched_at: Option<Uptime>,
}

impl Reachability {
    /// Whether there is currently neither a direct connection nor a relay.
    pub fn is_unreachable(&self, now: Uptime) -> bool {
        self.relay.is_none() && now < self.backoff_until
    }

    /// Returns whether a search for a relay is due, and records its start.
    pub fn start_search(&mut self, now: Uptime) -> bool {
        let due = self.relay.is_none()
            && self.failures > 0
            && self.searched_at.is_none_or(|at| now.saturating_sub(at) >= RELAY_SEARCH_INTERVAL);
        if due {
            self.searched_at = Some(now);
        }
        due
    }

    /// Returns whether a check of the direct connection is due, and records its start.
    pub fn start_recheck(&mut self, now: Uptime) -> bool {
        let due = self.relay.is_some() && now >= self.backoff_until;
        if due {
            self.backoff_until = now + CONNECT_BACKOFF;
        }
        due
    }
}

/// What this VM knows of a backend server. A restart of the backend server begins a new state.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// Its entry in the platform's list.
    pub entry: BackendEntry,
    /// What it has said about itself in its responses.
    pub notice: Notice,
    /// Estimate of whether it is gray.
    pub health: Health,
    /// Whether this VM can connect to it.
    pub reachability: Reachability,
    /// Requests of this VM that are in flight to it.
    pub in_flight: u32,
    /// Requests of other VMs that it has, by its last load report, and the time of the report.
    pub other_load: (u32, Uptime),
    /// Until when it is still slow after its start.
    pub cold_until: Uptime,
    /// When it was first in the list.
    pub listed_at: Uptime,
    /// When this VM last sent it a request.
    pub last_sent: Option<Uptime>,
    /// When it last refused a request without running it because it was full.
    pub last_full: Option<Uptime>,
    /// Fraction of its requests that it refuses without running them although it has free slots.
    pub shed_rate: ShedRate,
    /// Pace at which it is sent requests; `None` while it names no request limit.
    pub pace: Option<Pace>,
    /// Number of requests that this VM has sent to it since the count was last reported.
    pub unreported_sends: u32,
    /// Number of permits that this VM has given to others since the count was last reported.
    pub unreported_permits: u32,
}

impl BackendState {
    fn new(now: Uptime, entry: BackendEntry, notice: Notice) -> Self {
        BackendState {
            cold_until: now + entry.warmup,
            entry,
            notice,
            health: Health::new(now),
            reachability: Reachability::default(),
            in_flight: 0,
            other_load: (0, Uptime::ZERO),
            listed_at: now,
            last_sent: None,
            last_full: None,
            shed_rate: ShedRate::default(),
            pace: None,
            unreported_sends: 0,
            unreported_permits: 0,
        }
    }

    /// Whether it takes new requests, by its entry and by its own responses.
    pub fn availability(&self, now: Uptime) -> Availability {
        if self.entry.draining { Availability::Leaving } else { self.notice.availability(now) }
    }

    /// Number of requests that it has, as far as this VM knows.
    pub fn load(&self, now: Uptime) -> u32 {
        let (count, at) = self.other_load;
        let fresh = now.saturating_sub(at) < MAX_LOAD_AGE;
        self.in_flight.saturating_add(if fresh { count } else { 0 })
    }

    /// Records a load report: the requests that it runs and those that it has queued.
    pub fn record_load(&mut self, now: Uptime, running: u32, queued: u32) {
        // Both numbers are what the backend server has sent.
        self.other_load = (running.saturating_add(queued).saturating_sub(self.in_flight), now);
    }

    /// Whether its request limit, if it has one, allows a request now without a permit.
    pub fn is_within_limit(&self, now: Uptime) -> bool {
        self.pace.is_none_or(|pace| pace.has_token(now))
    }

    /// Returns the token of a request that was not sent to it, unless that was sent by a permit.
    pub fn refund(&mut self) {
        if let Some(pace) = self.pace.as_mut().filter(|pace| pace.right() != PaceRight::Permit) {
            pace.refund();
        }
    }

    /// Records a failure to connect.
    pub fn record_unreachable(&mut self, now: Uptime) {
        self.reachability.failures = (self.reachability.failures + 1).min(8);
        let backoff = CONNECT_BACKOFF * self.reachability.failures;
        self.reachability.backoff_until = now + backoff.min(MAX_CONNECT_BACKOFF);
    }

    /// Records that a direct connection worked.
    pub fn record_reachable(&mut self) {
        self.reachability = Reachability::default();
    }
}

/// All listed backend servers, with an index by service.
#[derive(Debug, Default)]
pub struct Backends {
    states: SlotMap<BackendKey, BackendState>,
    ids: HashMap<BackendId, BackendKey>,
    starts: HashMap<StartKey, BackendKey>,
    services: HashMap<ServiceId, Vec<BackendKey>>,
    /// What backend servers have said about themselves, also of unlisted ones.
    notices: Notices,
    /// Request limits that they have named, also of unlisted ones.
    limits: LimitTable,
    /// Expected duration of a gray period.
    gray_duration: GrayDuration,
}

impl Backends {
    /// Replaces the list. Returns the backend servers that were added and those that were removed.
    pub fn update(
        &mut self,
        now: Uptime,
        entries: &BTreeMap<BackendId, BackendEntry>,
    ) -> (Vec<BackendKey>, Vec<BackendStart>) {
        let mut removed = Vec::new();
        self.states.retain(|_, state| {
            let same = entries.get(&state.entry.id).is_some_and(|e| {
                e.started_ms == state.entry.started_ms
                    && e.address == state.entry.address
                    && e.service == state.entry.service
            });
            if !same {
                removed.push((state.entry.id.clone(), state.entry.started_ms));
            }
            same
        });
        self.ids.retain(|_, key| self.states.contains_key(*key));
        let mut added = Vec::new();
        for entry in entries.values() {
            match self.ids.get(&entry.id).and_then(|key| self.states.get_mut(*key)) {
                Some(state) => state.entry = entry.clone(),
                None => {
                    let notice = self.notices.get(Notices::key(entry));
                    let limit = self.limits.limit(Notices::key(entry));
                    let mut state = BackendState::new(now, entry.clone(), notice);
                    state.pace = limit.map(|limit| Pace::new(now, limit));
                    let key = self.states.insert(state);
                    self.ids.insert(entry.id.clone(), key);
                    added.push(key);
                }
            }
        }
        self.services.clear();
        for (key, state) in &self.states {
            self.services.entry(state.entry.service.clone()).or_default().push(key);
        }
        self.starts =
            self.states.iter().map(|(key, state)| (Notices::key(&state.entry), key)).collect();
        self.notices.prune(now, |key| self.starts.contains_key(&key));
        self.limits.prune(now, |key| self.starts.contains_key(&key));
        (added, removed)
    }

    /// Records what a backend server said about itself in a response to this VM. Returns its start
    /// if this was not known.
    pub fn record_notice(
        &mut self,
        now: Uptime,
        key: BackendKey,
        notice: Notice,
    ) -> Option<StartKey> {
        let state = self.states.get_mut(key)?;
        state.notice.merge(notice);
        let start = Notices::key(&state.entry);
        self.notices.merge(now, start, notice).then_some(start)
    }

    /// Merges what another VM reports of a backend server, which need not be listed here.
    pub fn merge_notice(&mut self, now: Uptime, start: StartKey, notice: Notice) {
        if !self.notices.merge(now, start, notice) {
            return;
        }
        if let Some(state) = self.find_start(start).and_then(|key| self.states.get_mut(key)) {
            state.notice.merge(notice);
        }
    }

    /// Notices that are in force, to be reported to other VMs.
    pub fn active_notices(&self, now: Uptime) -> impl Iterator<Item = (StartKey, Notice)> + '_ {
        self.notices.active(now)
    }

    /// Records what a backend server said about its request limit in a response to this VM. Returns
    /// its start and what has changed, if it has a limit or had one.
    pub fn record_limit(
        &mut self,
        now: Uptime,
        key: BackendKey,
        report: LimitReport,
    ) -> Option<(StartKey, LimitChange)> {
        let state = self.states.get(key)?;
        if state.pace.is_none() && report.limit.is_none() {
            return None;
        }
        let start = Notices::key(&state.entry);
        let before = self.limits.limit(start);
        let change = self.limits.record(now, start, report);
        self.apply_limit(now, start, before);
        Some((start, change))
    }

    /// Merges what another VM reports of a request limit.
    pub fn merge_limit(
        &mut self,
        now: Uptime,
        start: StartKey,
        report: LimitReport,
    ) -> LimitChange {
        let before = self.limits.limit(start);
        let change = self.limits.merge(now, start, report);
        self.apply_limit(now, start, before);
        change
    }

    /// Sets the pace of a backend server to its limit if that is another one than before.
    fn apply_limit(&mut self, now: Uptime, start: StartKey, before: Option<RequestLimit>) {
        let limit = self.limits.limit(start);
        if limit == before {
            return;
        }
        let Some(state) = self.find_start(start).and_then(|key| self.states.get_mut(key)) else {
            return;
        };
        match (&mut state.pace, limit) {
            (Some(pace), Some(limit)) => pace.set_limit(now, limit),
            (pace, limit) => *pace = limit.map(|limit| Pace::new(now, limit)),
        }
    }

    /// What is known of a request limit.
    pub fn limit_report(&self, start: StartKey) -> Option<LimitReport> {
        self.limits.get(start)
    }

    /// Request limits in force, to be reported to other VMs.
    pub fn active_limits(&self) -> impl Iterator<Item = (StartKey, LimitReport)> + '_ {
        self.limits.active()
    }

    /// Sets how this VM may spend the request limits of a service's backend servers. Returns whether
    /// one of them has a limit.
    pub fn set_pace_rights(
        &mut self,
        now: Uptime,
        service: &str,
        mut right: impl FnMut(&BackendEntry) -> PaceRight,
        mut phase: impl FnMut() -> f64,
    ) -> bool {
        let mut is_limited = false;
        for key in self.services.get(service).map_or(&[][..], Vec::as_slice) {
            let Some(state) = self.states.get_mut(*key) else { continue };
            if let Some(pace) = &mut state.pace {
                pace.set_right(now, right(&state.entry), phase());
                is_limited = true;
            }
        }
        is_limited
    }

    /// Key of a listed backend server by its start.
    pub fn find_start(&self, start: StartKey) -> Option<BackendKey> {
        self.starts.get(&start).copied()
    }

    /// Chooses a limited backend server of a service for a request that waits on another VM, and
    /// spends the token: among those that this VM owns the limits of, one that is unlikely to be gray
    /// and has the least load.
    pub fn grant_permit(&mut self, now: Uptime, service: &str) -> Option<StartKey> {
        let rank = |key: &BackendKey| {
            let state = self.states.get(*key)?;
            let pace = state.pace.filter(|pace| matches!(pace.right(), PaceRight::Owner(_)))?;
            let is_ready = state.availability(now) == Availability::Ready;
            let has_room = state.load(now) < state.entry.slots && pace.has_token(now);
            let is_gray = self.gray_probability(now, *key) > 0.5;
            let load = f64::from(state.load(now)) / f64::from(state.entry.slots);
            (is_ready && has_room).then_some((is_gray, load, *key))
        };
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let order = |a: &(bool, f64, BackendKey), b: &(bool, f64, BackendKey)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let (_, _, key) = keys.iter().filter_map(rank).min_by(order)?;
        let state = self.states.get_mut(key)?;
        state.pace.as_mut()?.take(now);
        state.unreported_permits = state.unreported_permits.saturating_add(1);
        Some(Notices::key(&state.entry))
    }

    /// Returns the token of a permit that another VM did not use.
    pub fn return_permit(&mut self, start: StartKey) {
        if let Some(state) = self.find_start(start).and_then(|key| self.states.get_mut(key)) {
            state.refund();
        }
    }

    /// The backend servers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (BackendKey, &BackendState)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| Some((*key, self.states.get(*key)?)))
    }

    /// One backend server; none once it is removed.
    pub fn get(&self, key: BackendKey) -> Option<&BackendState> {
        self.states.get(key)
    }

    /// One backend server; none once it is removed.
    pub fn get_mut(&mut self, key: BackendKey) -> Option<&mut BackendState> {
        self.states.get_mut(key)
    }

    /// Key of a backend server by its id.
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

    /// Removes a backend server before the list does, for example when another one has its address.
    pub fn remove(&mut self, key: BackendKey) {
        if let Some(state) = self.states.remove(key) {
            self.ids.remove(&state.entry.id);
            self.starts.remove(&Notices::key(&state.entry));
            if let Some(keys) = self.services.get_mut(&state.entry.service) {
                keys.retain(|k| *k != key);
            }
        }
    }

    /// Expected duration of a gray period.
    pub fn gray_duration(&self) -> GrayDuration {
        self.gray_duration
    }

    /// Probability that a backend server is gray; 0 once it is removed.
    pub fn gray_probability(&self, now: Uptime, key: BackendKey) -> f64 {
        self.states
            .get(key)
            .map_or(0.0, |state| state.health.gray_probability(now, self.gray_duration))
    }

    /// Updates the estimate for a backend server with one piece of evidence.
    pub fn observe(&mut self, now: Uptime, key: BackendKey, evidence: Evidence) {
        if let Some(state) = self.states.get_mut(key) {
            state.health.observe(now, evidence, &mut self.gray_duration);
        }
    }
}
