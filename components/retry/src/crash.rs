use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{AttemptId, BackendId, Incarnation, Uptime};

use crate::crash_record::{AGEING, CrashRecord};
use crate::{CrashAction, CrashMessage, Fingerprint};

/// Most requests on a backend server that died that are confined at its first death. Covers every
/// slot of a backend server of today. One of more is only refused at the second death.
const FEW: usize = 8;
/// Time after a reset within which the proxy must say whether the backend server is alive; it
/// opens one connection for that. Afterwards the backend server counts as dead.
const DOUBT: Duration = Duration::from_millis(500);
/// Time that an abandoned attempt is still taken to run.
const LINGER: Duration = Duration::from_secs(10);
/// Time between two copies of a message that has not been answered.
const RESEND: Duration = Duration::from_millis(200);
/// Time after the last request for a suspect that confirmations are still asked for.
const INTEREST: Duration = Duration::from_secs(2);
/// Most fingerprints known; above it those with the fewest and oldest deaths are forgotten.
const MOST_RECORDS: usize = 4096;

/// What the crash guard says to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Runs here.
    Run,
    /// Must not run now; ask again in some milliseconds, within the deadline.
    Wait,
    /// May run only at this home, to which it is forwarded.
    GoTo(Incarnation),
    /// Does not run.
    Refuse(CrashRefusal),
}

/// Why a request is refused. It was not run this time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashRefusal {
    /// Backend servers that died while they ran it.
    pub deaths: u32,
    /// Time after which it may be tried again.
    pub retry: Duration,
}

/// How an attempt ended, as far as the guard cares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A whole answer, whatever its status.
    Answered,
    /// The connection broke after the request was sent.
    Reset,
    /// Given up here, while the backend server may still run it.
    Abandoned,
    /// The backend server did not run it.
    NotRun,
}

#[derive(Debug)]
struct Copy {
    fingerprint: Fingerprint,
    backend: BackendId,
    started: Uptime,
    /// How and when the attempt ended without an answer; none while it runs.
    ended: Option<(AttemptEnd, Uptime)>,
}

impl Copy {
    /// Whether the backend server can still die of it without our knowing.
    fn is_open(&self, now: Uptime) -> bool {
        match self.ended {
            None => true,
            Some((AttemptEnd::Reset, at)) => now < at + DOUBT,
            Some((_, at)) => now < at + LINGER,
        }
    }
}

/// Keeps a request that crashes backend servers from taking down more than two of a service.
///
/// One guard for each service on its home. Every request asks `start` right before it is sent and
/// reports its end. The bound of two holds over the homes in `set_homes` for copies that are sent
/// one after the other; copies already in flight at the first death cannot be called back.
#[derive(Debug)]
pub struct CrashGuard {
    own: Incarnation,
    /// Homes of the service in the order of their ranking; the first is the arbiter.
    homes: Vec<Incarnation>,
    copies: BTreeMap<AttemptId, Copy>,
    records: BTreeMap<Fingerprint, CrashRecord>,
    /// Attempt of the suspect that runs now.
    trial: Option<AttemptId>,
    /// Raised with every change of a record, so that numbers grow over forgotten records too.
    seq: u64,
    outbox: Vec<CrashAction>,
}

impl CrashGuard {
    /// A guard on the VM `own`, at first its service's only home.
    pub fn new(own: Incarnation) -> Self {
        CrashGuard {
            own,
            homes: vec![own],
            copies: BTreeMap::new(),
            records: BTreeMap::new(),
            trial: None,
            seq: 0,
            outbox: Vec::new(),
        }
    }

    /// Sets the homes of the service in the order of their ranking over all regions.
    pub fn set_homes(&mut self, homes: &[Incarnation]) {
        for record in self.records.values_mut() {
            let new = homes.iter().filter(|h| **h != self.own && !self.homes.contains(h));
            record.unnoted.extend(new);
            record.unnoted.retain(|h| homes.contains(h));
            record.owed.retain(|h, _| homes.contains(h));
        }
        self.homes = homes.to_vec();
    }

    /// Says whether a request may run now, without starting it.
    pub fn check(&mut self, now: Uptime, fingerprint: &Fingerprint) -> Verdict {
        let open = self.is_open(now, fingerprint);
        // A reset that may have been a death holds the request back until that is known.
        let doubt = self.copies.values().any(|c| {
            c.fingerprint == *fingerprint
                && matches!(c.ended, Some((AttemptEnd::Reset, at)) if now < at + DOUBT)
        });
        let Some(record) = self.records.get_mut(fingerprint) else {
            return if doubt { Verdict::Wait } else { Verdict::Run };
        };
        if record.is_refused() {
            let retry = (record.last + AGEING).saturating_sub(now);
            return Verdict::Refuse(CrashRefusal { deaths: record.total(), retry });
        }
        if !record.confined {
            return if doubt { Verdict::Wait } else { Verdict::Run };
        }
        match self.homes.first() {
            Some(arbiter) if *arbiter != self.own => return Verdict::GoTo(*arbiter),
            _ => {}
        }
        if record.asked.is_none() {
            record.round += 1;
            record.confirmed.clear();
            record.questioned = Uptime::ZERO;
        }
        record.asked = Some(now);
        let mut others = self.homes.iter().filter(|h| **h != self.own);
        let confirmed = others.all(|h| record.confirmed.contains(h));
        if !confirmed || open || self.trial.is_some() {
            return Verdict::Wait;
        }
        Verdict::Run
    }

    /// Says whether a request may be sent to a backend server now; `Run` starts the attempt.
    pub fn start(
        &mut self,
        now: Uptime,
        attempt: AttemptId,
        fingerprint: &Fingerprint,
        backend: &str,
    ) -> Verdict {
        let verdict = self.check(now, fingerprint);
        if verdict == Verdict::Run {
            if self.records.get(fingerprint).is_some_and(|r| r.confined) {
                self.trial = Some(attempt);
            }
            let copy = Copy {
                fingerprint: *fingerprint,
                backend: backend.into(),
                started: now,
                ended: None,
            };
            self.copies.insert(attempt, copy);
        }
        verdict
    }

    /// Takes the end of an attempt. Returns true if the backend server is excused for it, because
    /// the request was a suspect before.
    pub fn ended(&mut self, now: Uptime, attempt: AttemptId, end: AttemptEnd) -> bool {
        let trial = self.trial == Some(attempt);
        if trial {
            self.trial = None;
        }
        let Some(copy) = self.copies.get_mut(&attempt) else {
            return false;
        };
        match end {
            AttemptEnd::Answered => {
                let (fingerprint, backend) = (copy.fingerprint, copy.backend.clone());
                let started = copy.started;
                self.copies.remove(&attempt);
                self.clear(&fingerprint);
                self.backend_alive(&backend, started);
            }
            AttemptEnd::NotRun => {
                self.copies.remove(&attempt);
            }
            AttemptEnd::Reset | AttemptEnd::Abandoned => copy.ended = Some((end, now)),
        }
        trial && end == AttemptEnd::Reset
    }

    /// Tells that a backend server answered something, or took a connection, that was sent at
    /// `since`: resets before that were no deaths.
    pub fn backend_alive(&mut self, backend: &str, since: Uptime) {
        self.copies.retain(|_, c| {
            let reset = matches!(c.ended, Some((AttemptEnd::Reset, at)) if at <= since);
            !(reset && *c.backend == *backend)
        });
    }

    /// Tells that a backend server has died. Called once for each death.
    pub fn backend_died(&mut self, now: Uptime, backend: &str) {
        let mut blamed: Vec<Fingerprint> = Vec::new();
        self.copies.retain(|_, c| {
            if *c.backend != *backend {
                return true;
            }
            // Resets that turned out harmless are gone; one that is still here counts at any age.
            let reset = matches!(c.ended, Some((AttemptEnd::Reset, _)));
            if (reset || c.is_open(now)) && !blamed.contains(&c.fingerprint) {
                blamed.push(c.fingerprint);
            }
            // Attempts that run end by themselves and must find their entry.
            c.ended.is_none()
        });
        // A running attempt was charged; it must not be charged again at the next death.
        for copy in self.copies.values_mut().filter(|c| *c.backend == *backend) {
            copy.backend = Box::default();
        }
        let confined = blamed.len() <= FEW;
        for fingerprint in blamed {
            self.blame(now, fingerprint, confined);
        }
    }

    /// Takes a message from another home.
    pub fn receive(&mut self, now: Uptime, from: Incarnation, message: CrashMessage) {
        match message {
            CrashMessage::Report { fingerprint, confined, deaths } => {
                let seq = deaths.iter().find(|d| d.home == from).map_or(0, |d| d.seq);
                self.send(from, CrashMessage::Noted { fingerprint, seq });
                let record = self.record(now, fingerprint);
                record.merge(now, &deaths);
                record.confined |= confined;
            }
            CrashMessage::Noted { fingerprint, seq } => {
                let own = self.own;
                if let Some(record) = self.records.get_mut(&fingerprint)
                    && record.own_seq(own) == seq
                {
                    record.unnoted.remove(&from);
                }
            }
            CrashMessage::Ask { fingerprint, round, deaths } => {
                let record = self.record(now, fingerprint);
                record.merge(now, &deaths);
                record.confined = true;
                record.owed.insert(from, round);
                self.confirm(now, fingerprint);
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
                let newer = self.records.get(&fingerprint).is_none_or(|r| r.is_newer(&deaths));
                if !newer {
                    self.records.remove(&fingerprint);
                }
            }
        }
    }

    /// Returns the messages to send. Called every 20 ms and after the other calls.
    pub fn poll(&mut self, now: Uptime) -> Vec<CrashAction> {
        self.settle_doubts(now);
        let own = self.own;
        self.records.retain(|_, r| now < r.last + AGEING);
        let open: Vec<Fingerprint> = self.records.keys().copied().collect();
        for fingerprint in open {
            self.confirm(now, fingerprint);
        }
        let mut sends = Vec::new();
        for (fingerprint, record) in &mut self.records {
            if !record.unnoted.is_empty() && now >= record.reported + RESEND {
                record.reported = now;
                let (confined, deaths) = (record.confined, record.list());
                for to in &record.unnoted {
                    let deaths = deaths.clone();
                    let fingerprint = *fingerprint;
                    sends.push((*to, CrashMessage::Report { fingerprint, confined, deaths }));
                }
            }
            let Some(asked) = record.asked else { continue };
            if now > asked + INTEREST {
                record.asked = None;
                continue;
            }
            if now < record.questioned + RESEND {
                continue;
            }
            record.questioned = now;
            for to in self.homes.iter().filter(|h| **h != own) {
                if !record.confirmed.contains(to) && !record.is_refused() {
                    let (round, deaths) = (record.round, record.list());
                    let fingerprint = *fingerprint;
                    sends.push((*to, CrashMessage::Ask { fingerprint, round, deaths }));
                }
            }
        }
        for (to, message) in sends {
            self.send(to, message);
        }
        std::mem::take(&mut self.outbox)
    }

    fn send(&mut self, to: Incarnation, message: CrashMessage) {
        self.outbox.push(CrashAction::Send { to, message });
    }

    fn is_open(&self, now: Uptime, fingerprint: &Fingerprint) -> bool {
        self.copies.values().any(|c| c.fingerprint == *fingerprint && c.is_open(now))
    }

    fn record(&mut self, now: Uptime, fingerprint: Fingerprint) -> &mut CrashRecord {
        if self.records.len() >= MOST_RECORDS && !self.records.contains_key(&fingerprint) {
            let least = self.records.iter().min_by_key(|(_, r)| (r.total(), r.last));
            if let Some(least) = least.map(|(f, _)| *f) {
                self.records.remove(&least);
            }
        }
        let new = || CrashRecord { last: now, ..CrashRecord::default() };
        self.records.entry(fingerprint).or_insert_with(new)
    }

    fn blame(&mut self, now: Uptime, fingerprint: Fingerprint, confined: bool) {
        self.seq += 1;
        let (own, seq) = (self.own, self.seq);
        let others: Vec<Incarnation> = self.homes.iter().copied().filter(|h| *h != own).collect();
        let record = self.record(now, fingerprint);
        let deaths = record.deaths.entry(own).or_default();
        *deaths = (seq, deaths.1 + 1);
        record.confined |= confined;
        record.last = now;
        record.unnoted.extend(others);
        record.reported = Uptime::ZERO;
    }

    fn clear(&mut self, fingerprint: &Fingerprint) {
        let Some(record) = self.records.remove(fingerprint) else {
            return;
        };
        let deaths = record.list();
        let others: Vec<Incarnation> =
            self.homes.iter().copied().filter(|h| *h != self.own).collect();
        for to in others {
            let (fingerprint, deaths) = (*fingerprint, deaths.clone());
            self.send(to, CrashMessage::Cleared { fingerprint, deaths });
        }
    }

    /// Gives the confirmations that are owed, if no copy can run here.
    fn confirm(&mut self, now: Uptime, fingerprint: Fingerprint) {
        let open = self.is_open(now, &fingerprint);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if open || record.owed.is_empty() {
            return;
        }
        // The home that asks may now run the request; confirmations held here become void.
        record.round += 1;
        record.confirmed.clear();
        let owed = std::mem::take(&mut record.owed);
        let deaths = record.list();
        for (to, round) in owed {
            let deaths = deaths.clone();
            self.send(to, CrashMessage::Confirm { fingerprint, round, deaths });
        }
    }

    /// Takes resets that nobody has explained in time as deaths, and forgets old attempts.
    fn settle_doubts(&mut self, now: Uptime) {
        let dead: Vec<BackendId> = self
            .copies
            .values()
            .filter(|c| matches!(c.ended, Some((AttemptEnd::Reset, at)) if now >= at + DOUBT))
            .map(|c| c.backend.clone())
            .collect();
        for backend in dead {
            self.backend_died(now, &backend);
        }
        self.copies.retain(|_, c| c.is_open(now));
    }
}
