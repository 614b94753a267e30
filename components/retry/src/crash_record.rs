use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::{Incarnation, Uptime};

use crate::CrashCount;

/// Time without a further crash after which a record is dropped, so that a repaired service gets
/// the request again. A request that still crashes costs two more backend servers per hour.
pub(crate) const RECORD_RETENTION: Duration = Duration::from_secs(3600);
/// Number of crashes from which a request is refused.
pub(crate) const MAX_CRASHES: u32 = 2;

/// State of one home for a request that was running on a backend server when it crashed.
#[derive(Debug, Default)]
pub(crate) struct CrashRecord {
    /// Sequence number and crash count reported by each home.
    pub crashes: BTreeMap<Incarnation, (u64, u32)>,
    /// Whether the request may run only as a suspect: one at a time, on the arbiter. False if it
    /// was one of too many requests on the crashed backend server.
    pub confined: bool,
    /// Time of the last change of `crashes`.
    pub last_change: Uptime,
    /// Homes that have not acknowledged this home's report yet.
    pub unacknowledged: BTreeSet<Incarnation>,
    /// Last time that the report was sent.
    pub last_report: Uptime,
    /// Round of this home's asks for confirmation. Raised for each new series of asks and whenever
    /// this home confirms to another one, so that earlier confirmations are void.
    pub round: u64,
    /// Homes that confirmed the current round.
    pub confirmed: BTreeSet<Incarnation>,
    /// Last time that a caller asked to run the request here; `None` if none did recently.
    pub last_requested: Option<Uptime>,
    /// Last time that the asks for confirmation were sent.
    pub confirm_sent: Uptime,
    /// Asks to confirm once no copy of the request can be running here: home and its round.
    pub pending_asks: BTreeMap<Incarnation, u64>,
}

impl CrashRecord {
    /// Number of crashes reported by all homes.
    pub fn total_crashes(&self) -> u32 {
        self.crashes.values().map(|(_, count)| count).sum()
    }

    /// Whether the request is refused.
    pub fn is_refused(&self) -> bool {
        self.total_crashes() >= MAX_CRASHES
    }

    /// Crash counts in the form that messages carry.
    pub fn crash_counts(&self) -> Vec<CrashCount> {
        let list = self.crashes.iter();
        list.map(|(home, (seq, count))| CrashCount { home: *home, seq: *seq, count: *count })
            .collect()
    }

    /// Sequence number of the home `own`; 0 if it has reported no crash.
    pub fn own_seq(&self, own: Incarnation) -> u64 {
        self.crashes.get(&own).map_or(0, |(seq, _)| *seq)
    }

    /// Takes over the crash counts that are newer than the known ones.
    pub fn merge(&mut self, now: Uptime, list: &[CrashCount]) {
        for report in list {
            let known = self.crashes.entry(report.home).or_default();
            if report.seq > known.0 {
                *known = (report.seq, report.count);
                self.last_change = now;
            }
        }
    }

    /// Whether the record has a crash that is newer than the list.
    pub fn has_newer_than(&self, list: &[CrashCount]) -> bool {
        let seq = |home: &Incarnation| list.iter().find(|d| d.home == *home).map_or(0, |d| d.seq);
        self.crashes.iter().any(|(home, (own, count))| *count > 0 && *own > seq(home))
    }
}
