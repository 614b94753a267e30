use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::{Incarnation, Uptime};

use crate::CrashCount;

/// Time without a further death after which a fingerprint is forgotten, so that a repaired service
/// gets the request again. A request that still crashes costs two more backend servers an hour.
pub(crate) const RECORD_RETENTION: Duration = Duration::from_secs(3600);
/// Deaths after which a fingerprint is refused.
pub(crate) const MAX_CRASHES: u32 = 2;

/// What one home knows of a fingerprint that was present at the death of a backend server.
#[derive(Debug, Default)]
pub(crate) struct CrashRecord {
    /// Sequence and number of deaths of each home.
    pub crashes: BTreeMap<Incarnation, (u64, u32)>,
    /// Whether the request may run only as a suspect; false if it was one of many.
    pub confined: bool,
    /// Time of the last change in the deaths.
    pub last_change: Uptime,
    /// Homes that have not noted the own report yet.
    pub unacknowledged: BTreeSet<Incarnation>,
    /// Last time that the own report was sent.
    pub last_report: Uptime,
    /// Round of the own questions; raised whenever another home is given a confirmation.
    pub round: u64,
    /// Homes that confirmed the current round.
    pub confirmed: BTreeSet<Incarnation>,
    /// Last time that this home asked; none if nobody waits for the request.
    pub last_requested: Option<Uptime>,
    /// Last time that the questions were sent.
    pub last_ask: Uptime,
    /// Confirmations that wait until no copy runs here: home and its round.
    pub pending_asks: BTreeMap<Incarnation, u64>,
}

impl CrashRecord {
    /// Deaths at all homes.
    pub fn total_crashes(&self) -> u32 {
        self.crashes.values().map(|(_, count)| count).sum()
    }

    /// Whether the request is refused.
    pub fn is_refused(&self) -> bool {
        self.total_crashes() >= MAX_CRASHES
    }

    /// Deaths as a message carries them.
    pub fn crash_counts(&self) -> Vec<CrashCount> {
        let list = self.crashes.iter();
        list.map(|(home, (seq, count))| CrashCount { home: *home, seq: *seq, count: *count })
            .collect()
    }

    /// Own sequence number; zero if this home knows of no death.
    pub fn own_seq(&self, own: Incarnation) -> u64 {
        self.crashes.get(&own).map_or(0, |(seq, _)| *seq)
    }

    /// Takes over what is newer.
    pub fn merge(&mut self, now: Uptime, list: &[CrashCount]) {
        for d in list {
            let known = self.crashes.entry(d.home).or_default();
            if d.seq > known.0 {
                *known = (d.seq, d.count);
                self.last_change = now;
            }
        }
    }

    /// Whether one of the deaths is newer than the list.
    pub fn has_newer_than(&self, list: &[CrashCount]) -> bool {
        let seq = |home: &Incarnation| list.iter().find(|d| d.home == *home).map_or(0, |d| d.seq);
        self.crashes.iter().any(|(home, (own, count))| *count > 0 && *own > seq(home))
    }
}
