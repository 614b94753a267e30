use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{AttemptId, BackendId, Incarnation, Uptime};

use crate::crash_record::{CrashRecord, RECORD_RETENTION};
use crate::{CrashAction, CrashMessage, Fingerprint};

/// Maximum number of requests on a crashed backend server that become suspects at their first
/// crash. Covers all slots of present backend servers. If there were more, none is confined, and a
/// request is refused only after its second crash.
const MAX_SUSPECTS_PER_CRASH: usize = 8;
/// Time after a reset within which the proxy must report whether the backend server is alive, for
/// which it opens a connection. Afterwards the backend server counts as crashed.
const RESET_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an abandoned attempt is assumed to keep running on the backend server.
const MAX_ABANDONED_RUNTIME: Duration = Duration::from_secs(10);
/// Time between two sends of a message that has not been acknowledged or confirmed.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last try to run a suspect during which the other homes are asked to confirm.
const CONFIRM_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of records; above it the one with the fewest and oldest crashes is dropped.
const MAX_RECORDS: usize = 4096;

/// Decision of the crash guard about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GuardDecision {
    /// Run it here.
    Run,
    /// It must not run now; ask again in some milliseconds, within the deadline.
    Wait,
    /// It may run only at this home; forward it there.
    Forward(Incarnation),
    /// Refuse it.
    Refuse(CrashRefusal),
}

/// Details of a refusal. The request was not run this time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashRefusal {
    /// Number of backend servers that crashed while they ran the request.
    pub crashes: u32,
    /// Time after which the request may be sent again.
    pub retry: Duration,
}

/// How an attempt ended, in the categories of the crash guard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// With a complete response, whatever its status.
    Completed,
    /// The connection broke after the request was sent.
    Reset,
    /// Abandoned here, while the backend server may still be running it.
    Abandoned,
    /// The backend server did not run it.
    NotRun,
}

#[derive(Debug)]
struct TrackedAttempt {
    fingerprint: Fingerprint,
    backend: BackendId,
    started: Uptime,
    /// How and when the attempt ended without a response; `None` while it runs.
    ended: Option<(AttemptEnd, Uptime)>,
}

impl TrackedAttempt {
    /// Whether the backend server may still be running the attempt, or may have crashed on it
    /// without the crash being detected yet.
    fn may_be_running(&self, now: Uptime) -> bool {
        match self.ended {
            None => true,
            Some((AttemptEnd::Reset, at)) => now < at + RESET_TIMEOUT,
            Some((_, at)) => now < at + MAX_ABANDONED_RUNTIME,
        }
    }
}

/// Prevents a request that crashes backend servers from crashing more than two of a service.
///
/// Each home of a service has one guard. `start` is called right before each attempt and
/// `finish_attempt` after it. The limit of two holds across the homes given to `set_homes` for
/// copies of a request that are sent one after the other; copies already in flight at the first
/// crash cannot be stopped.
#[derive(Debug)]
pub struct CrashGuard {
    own: Incarnation,
    /// Homes of the service in ranking order; the first is the arbiter, which alone runs suspects.
    homes: Vec<Incarnation>,
    attempts: BTreeMap<AttemptId, TrackedAttempt>,
    records: BTreeMap<Fingerprint, CrashRecord>,
    /// Attempt of a suspect that is running; there is at most one.
    suspect_attempt: Option<AttemptId>,
    /// Sequence number of the last crash. Shared by all records, so that it keeps growing when a
    /// record is dropped and created again.
    seq: u64,
    outbox: Vec<CrashAction>,
}

impl CrashGuard {
    /// Creates a guard on the VM `own`, which is the only home of the service at first.
    pub fn new(own: Incarnation) -> Self {
        CrashGuard {
            own,
            homes: vec![own],
            attempts: BTreeMap::new(),
            records: BTreeMap::new(),
            suspect_attempt: None,
            seq: 0,
            outbox: Vec::new(),
        }
    }

    /// Sets the homes of the service in all regions, in ranking order.
    pub fn set_homes(&mut self, homes: &[Incarnation]) {
        for record in self.records.values_mut() {
            let new = homes.iter().filter(|h| **h != self.own && !self.homes.contains(h));
            record.unacknowledged.extend(new);
            record.unacknowledged.retain(|h| homes.contains(h));
            record.pending_asks.retain(|h, _| homes.contains(h));
        }
        self.homes = homes.to_vec();
    }

    /// Decides whether a request may run now, without starting it.
    pub fn check(&mut self, now: Uptime, fingerprint: &Fingerprint) -> GuardDecision {
        let running = self.may_be_running(now, fingerprint);
        // The request waits until it is known whether a reset was caused by a crash.
        let unresolved_reset = self.attempts.values().any(|a| {
            a.fingerprint == *fingerprint
                && matches!(a.ended, Some((AttemptEnd::Reset, at)) if now < at + RESET_TIMEOUT)
        });
        let Some(record) = self.records.get_mut(fingerprint) else {
            return if unresolved_reset { GuardDecision::Wait } else { GuardDecision::Run };
        };
        if record.is_refused() {
            let retry = (record.last_change + RECORD_RETENTION).saturating_sub(now);
            return GuardDecision::Refuse(CrashRefusal { crashes: record.total_crashes(), retry });
        }
        if !record.confined {
            return if unresolved_reset { GuardDecision::Wait } else { GuardDecision::Run };
        }
        match self.homes.first() {
            Some(arbiter) if *arbiter != self.own => return GuardDecision::Forward(*arbiter),
            _ => {}
        }
        if record.last_requested.is_none() {
            record.round += 1;
            record.confirmed.clear();
            record.confirm_sent = Uptime::ZERO;
        }
        record.last_requested = Some(now);
        let mut others = self.homes.iter().filter(|h| **h != self.own);
        let confirmed = others.all(|h| record.confirmed.contains(h));
        if !confirmed || running || self.suspect_attempt.is_some() {
            return GuardDecision::Wait;
        }
        GuardDecision::Run
    }

    /// Decides whether a request may be sent to a backend server now; `Run` starts the attempt.
    pub fn start(
        &mut self,
        now: Uptime,
        attempt: AttemptId,
        fingerprint: &Fingerprint,
        backend: &str,
    ) -> GuardDecision {
        let decision = self.check(now, fingerprint);
        if decision == GuardDecision::Run {
            if self.records.get(fingerprint).is_some_and(|r| r.confined) {
                self.suspect_attempt = Some(attempt);
            }
            let tracked = TrackedAttempt {
                fingerprint: *fingerprint,
                backend: backend.into(),
                started: now,
                ended: None,
            };
            self.attempts.insert(attempt, tracked);
        }
        decision
    }

    /// Records the end of an attempt. Returns true if the failure must not count against the
    /// backend server, because the connection was reset while it ran a suspect.
    pub fn finish_attempt(&mut self, now: Uptime, attempt: AttemptId, end: AttemptEnd) -> bool {
        let was_suspect = self.suspect_attempt == Some(attempt);
        if was_suspect {
            self.suspect_attempt = None;
        }
        let Some(tracked) = self.attempts.get_mut(&attempt) else {
            return false;
        };
        match end {
            AttemptEnd::Completed => {
                let (fingerprint, backend) = (tracked.fingerprint, tracked.backend.clone());
                let started = tracked.started;
                self.attempts.remove(&attempt);
                self.clear_suspect(&fingerprint);
                self.mark_backend_alive(&backend, started);
            }
            AttemptEnd::NotRun => {
                self.attempts.remove(&attempt);
            }
            AttemptEnd::Reset | AttemptEnd::Abandoned => tracked.ended = Some((end, now)),
        }
        was_suspect && end == AttemptEnd::Reset
    }

    /// Records that a backend server responded to a request sent at `since` or accepted a
    /// connection then, so that earlier resets were not caused by a crash.
    pub fn mark_backend_alive(&mut self, backend: &str, since: Uptime) {
        self.attempts.retain(|_, a| {
            let reset = matches!(a.ended, Some((AttemptEnd::Reset, at)) if at <= since);
            !(reset && *a.backend == *backend)
        });
    }

    /// Records the crash of a backend server. Called once for each crash.
    pub fn mark_backend_crashed(&mut self, now: Uptime, backend: &str) {
        let mut suspects: Vec<Fingerprint> = Vec::new();
        self.attempts.retain(|_, a| {
            if *a.backend != *backend {
                return true;
            }
            // Resets without a crash were already removed, so a reset counts whatever its age.
            let reset = matches!(a.ended, Some((AttemptEnd::Reset, _)));
            if (reset || a.may_be_running(now)) && !suspects.contains(&a.fingerprint) {
                suspects.push(a.fingerprint);
            }
            // Running attempts stay, since `finish_attempt` will be called for them.
            a.ended.is_none()
        });
        // Running attempts were counted for this crash and must not be counted for the next one.
        for tracked in self.attempts.values_mut().filter(|a| *a.backend == *backend) {
            tracked.backend = Box::default();
        }
        let confined = suspects.len() <= MAX_SUSPECTS_PER_CRASH;
        for fingerprint in suspects {
            self.record_crash(now, fingerprint, confined);
        }
    }

    /// Handles a message from another home.
    pub fn receive(&mut self, now: Uptime, from: Incarnation, message: CrashMessage) {
        match message {
            CrashMessage::Report { fingerprint, confined, deaths } => {
                let seq = deaths.iter().find(|d| d.home == from).map_or(0, |d| d.seq);
                self.send(from, CrashMessage::Noted { fingerprint, seq });
                let record = self.record_mut(now, fingerprint);
                record.merge(now, &deaths);
                record.confined |= confined;
            }
            CrashMessage::Noted { fingerprint, seq } => {
                let own = self.own;
                if let Some(record) = self.records.get_mut(&fingerprint)
                    && record.own_seq(own) == seq
                {
                    record.unacknowledged.remove(&from);
                }
            }
            CrashMessage::Ask { fingerprint, round, deaths } => {
                let record = self.record_mut(now, fingerprint);
                record.merge(now, &deaths);
                record.confined = true;
                record.pending_asks.insert(from, round);
                self.send_confirmations(now, fingerprint);
            }
            CrashMessage::Confirm { fingerprint, round, deaths } => {
                if let Some(record) = self.records.get_mut(&fingerprint) {
                    record.merge(now, &deaths);
                    if record.round == round {
                        record.confirmed.insert(from);
                    }
                }
            }
            CrashMessage::Cleared { fingerprint, deaths } => {
                let newer =
                    self.records.get(&fingerprint).is_none_or(|r| r.has_newer_than(&deaths));
                if !newer {
                    self.records.remove(&fingerprint);
                }
            }
        }
    }

    /// Returns the messages to send. Called every 20 ms and after the other calls.
    pub fn poll(&mut self, now: Uptime) -> Vec<CrashAction> {
        self.resolve_resets(now);
        let own = self.own;
        self.records.retain(|_, r| now < r.last_change + RECORD_RETENTION);
        let fingerprints: Vec<Fingerprint> = self.records.keys().copied().collect();
        for fingerprint in fingerprints {
            self.send_confirmations(now, fingerprint);
        }
        let mut messages = Vec::new();
        for (fingerprint, record) in &mut self.records {
            if !record.unacknowledged.is_empty() && now >= record.last_report + RESEND_INTERVAL {
                record.last_report = now;
                let (confined, deaths) = (record.confined, record.crash_counts());
                for to in &record.unacknowledged {
                    let deaths = deaths.clone();
                    let fingerprint = *fingerprint;
                    messages.push((*to, CrashMessage::Report { fingerprint, confined, deaths }));
                }
            }
            let Some(last_requested) = record.last_requested else { continue };
            if now > last_requested + CONFIRM_WINDOW {
                record.last_requested = None;
                continue;
            }
            if now < record.confirm_sent + RESEND_INTERVAL {
                continue;
            }
            record.confirm_sent = now;
            for to in self.homes.iter().filter(|h| **h != own) {
                if !record.confirmed.contains(to) && !record.is_refused() {
                    let (round, deaths) = (record.round, record.crash_counts());
                    let fingerprint = *fingerprint;
                    messages.push((*to, CrashMessage::Ask { fingerprint, round, deaths }));
                }
            }
        }
        for (to, message) in messages {
            self.send(to, message);
        }
        std::mem::take(&mut self.outbox)
    }

    fn send(&mut self, to: Incarnation, message: CrashMessage) {
        self.outbox.push(CrashAction::Send { to, message });
    }

    /// Whether any attempt of the request may still be running.
    fn may_be_running(&self, now: Uptime, fingerprint: &Fingerprint) -> bool {
        self.attempts.values().any(|a| a.fingerprint == *fingerprint && a.may_be_running(now))
    }

    /// Returns the record of a request, creating it if necessary.
    fn record_mut(&mut self, now: Uptime, fingerprint: Fingerprint) -> &mut CrashRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            let least = self.records.iter().min_by_key(|(_, r)| (r.total_crashes(), r.last_change));
            if let Some(evicted) = least.map(|(f, _)| *f) {
                self.records.remove(&evicted);
            }
        }
        let new = || CrashRecord { last_change: now, ..CrashRecord::default() };
        self.records.entry(fingerprint).or_insert_with(new)
    }

    fn record_crash(&mut self, now: Uptime, fingerprint: Fingerprint, confined: bool) {
        self.seq += 1;
        let (own, seq) = (self.own, self.seq);
        let others: Vec<Incarnation> = self.homes.iter().copied().filter(|h| *h != own).collect();
        let record = self.record_mut(now, fingerprint);
        let crashes = record.crashes.entry(own).or_default();
        *crashes = (seq, crashes.1 + 1);
        record.confined |= confined;
        record.last_change = now;
        record.unacknowledged.extend(others);
        record.last_report = Uptime::ZERO;
    }

    fn clear_suspect(&mut self, fingerprint: &Fingerprint) {
        let Some(record) = self.records.remove(fingerprint) else {
            return;
        };
        let deaths = record.crash_counts();
        let others: Vec<Incarnation> =
            self.homes.iter().copied().filter(|h| *h != self.own).collect();
        for to in others {
            let (fingerprint, deaths) = (*fingerprint, deaths.clone());
            self.send(to, CrashMessage::Cleared { fingerprint, deaths });
        }
    }

    /// Confirms to the homes that asked, if no copy of the request can be running here.
    fn send_confirmations(&mut self, now: Uptime, fingerprint: Fingerprint) {
        let running = self.may_be_running(now, &fingerprint);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if running || record.pending_asks.is_empty() {
            return;
        }
        // The home that asked may now run the request, so confirmations received here become void.
        record.round += 1;
        record.confirmed.clear();
        let pending_asks = std::mem::take(&mut record.pending_asks);
        let deaths = record.crash_counts();
        for (to, round) in pending_asks {
            let deaths = deaths.clone();
            self.send(to, CrashMessage::Confirm { fingerprint, round, deaths });
        }
    }

    /// Treats resets without a report within `RESET_TIMEOUT` as crashes, and drops attempts
    /// that can no longer be running.
    fn resolve_resets(&mut self, now: Uptime) {
        let crashed: Vec<BackendId> = self
            .attempts
            .values()
            .filter(
                |a| matches!(a.ended, Some((AttemptEnd::Reset, at)) if now >= at + RESET_TIMEOUT),
            )
            .map(|a| a.backend.clone())
            .collect();
        for backend in crashed {
            self.mark_backend_crashed(now, &backend);
        }
        self.attempts.retain(|_, a| a.may_be_running(now));
    }
}
