use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use kernel::Uptime;

use crate::StartKey;

/// Crashes of backend servers after which a request is refused.
pub const MAX_CRASHES: usize = 2;
/// Time for which the crashes of a request are remembered, from the latest one; callers resend such
/// requests for minutes.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Capacity of the table; beyond it the request with the oldest crash is evicted.
const MAX_SUSPECTS: usize = 2048;
/// Maximum number of crashes of one request that are remembered; it is refused long before.
const MAX_STARTS: usize = 16;
/// Time from one report of a crash to the next. Datagrams get lost, and VMs take over from each
/// other; no report follows the last of these.
const REPORT_INTERVALS: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(8),
    Duration::from_secs(32),
];

/// Crash of a backend server while it ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Start of the backend server that it ended.
    pub start: StartKey,
    /// When it was noticed.
    pub at: Uptime,
    /// Whether the request has had a complete response since. Never reset.
    pub cleared: bool,
}

/// What is known of one crash, and what other VMs were told of it.
#[derive(Clone, Copy, Debug)]
struct Record {
    at: Uptime,
    cleared: bool,
    /// Whether this VM has noticed the crash, or that the request does not cause it.
    is_own: bool,
    /// Number of reports that were due. At most one more than `REPORT_INTERVALS`.
    reports: usize,
    /// When the next one is due; `None` after the last.
    report_at: Option<Uptime>,
}

/// Requests during which backend servers crashed, by fingerprint.
///
/// Handles a request that crashes every backend server that runs it and that its caller resends
/// through any VM: the VMs report crashes to each other. A crash is known by the start of the
/// backend server that it ended, so that VMs that hear of crashes in any order, and any number of
/// times, agree on their number, and copies of a request that run on one backend server count once.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    /// Holds no request without a crash.
    suspects: HashMap<u64, BTreeMap<StartKey, Record>>,
}

fn is_fresh(now: Uptime, crashes: &BTreeMap<StartKey, Record>) -> bool {
    crashes.values().any(|crash| now.saturating_sub(crash.at) < CRASH_RETENTION)
}

impl CrashSuspects {
    /// Crashes attributed to the request.
    pub fn crash_count(&self, now: Uptime, fingerprint: u64) -> usize {
        let crashes = self.suspects.get(&fingerprint).filter(|crashes| is_fresh(now, crashes));
        crashes.map_or(0, |crashes| crashes.values().filter(|crash| !crash.cleared).count())
    }

    /// Whether the request must not run.
    pub fn is_blocked(&self, now: Uptime, fingerprint: u64) -> bool {
        self.crash_count(now, fingerprint) >= MAX_CRASHES
    }

    /// Records a crash that this VM has noticed. Returns the number of crashes so far.
    pub fn record(&mut self, now: Uptime, fingerprint: u64, start: StartKey) -> usize {
        self.add(now, Crash { fingerprint, start, at: now, cleared: false }, true);
        self.crash_count(now, fingerprint)
    }

    /// Merges a crash that another VM reports. Returns whether something is new.
    pub fn merge(&mut self, now: Uptime, crash: Crash) -> bool {
        now.saturating_sub(crash.at) < CRASH_RETENTION && self.add(now, crash, false)
    }

    fn add(&mut self, now: Uptime, crash: Crash, is_own: bool) -> bool {
        let Crash { fingerprint, start, at, cleared } = crash;
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let crashes = self.suspects.entry(fingerprint).or_default();
        if let Some(known) = crashes.get_mut(&start) {
            // Each report takes some time, which must not prolong the retention.
            known.at = known.at.min(at);
            if known.cleared || !cleared {
                return false;
            }
            known.cleared = true;
            known.reports = 0;
            known.report_at = Some(now);
            return true;
        }
        if crashes.len() >= MAX_STARTS {
            return false;
        }
        crashes.insert(start, Record { at, cleared, is_own, reports: 0, report_at: Some(now) });
        true
    }

    fn make_room(&mut self) {
        let latest = |crashes: &BTreeMap<StartKey, Record>| crashes.values().map(|c| c.at).max();
        if self.suspects.len() >= MAX_SUSPECTS
            && let Some(oldest) = self.suspects.iter().min_by_key(|(_, crashes)| latest(crashes))
        {
            let oldest = *oldest.0;
            self.suspects.remove(&oldest);
        }
    }

    /// Records that a request has had a complete response: it did not cause the crashes so far.
    pub fn clear(&mut self, now: Uptime, fingerprint: u64) {
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return };
        for crash in crashes.values_mut().filter(|crash| !crash.cleared) {
            *crash = Record {
                cleared: true,
                is_own: true,
                reports: 0,
                report_at: Some(now),
                at: crash.at,
            };
        }
    }

    /// All crashes that are remembered.
    pub fn active(&self, now: Uptime) -> impl Iterator<Item = Crash> + '_ {
        let active = self.suspects.iter().filter(move |(_, crashes)| is_fresh(now, crashes));
        active.flat_map(|(fingerprint, crashes)| {
            crashes.iter().map(|(start, crash)| Crash {
                fingerprint: *fingerprint,
                start: *start,
                at: crash.at,
                cleared: crash.cleared,
            })
        })
    }

    /// Takes the crashes to report now: those that this VM has noticed, and all others if it passes
    /// on what it hears. Each is reported a few times.
    pub fn take_reports(&mut self, now: Uptime, passes_on: bool) -> Vec<Crash> {
        self.suspects.retain(|_, crashes| is_fresh(now, crashes));
        let mut due = Vec::new();
        for (fingerprint, crashes) in &mut self.suspects {
            for (start, crash) in crashes {
                if crash.report_at.is_none_or(|at| at > now) {
                    continue;
                }
                crash.report_at = REPORT_INTERVALS.get(crash.reports).map(|wait| now + *wait);
                crash.reports += 1;
                if crash.is_own || passes_on {
                    due.push(Crash {
                        fingerprint: *fingerprint,
                        start: *start,
                        at: crash.at,
                        cleared: crash.cleared,
                    });
                }
            }
        }
        due
    }
}
