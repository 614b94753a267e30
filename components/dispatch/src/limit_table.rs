use std::collections::HashMap;
use std::time::Duration;

use kernel::Uptime;

use crate::{RequestLimit, StartKey};

/// Time for which the end of a limit is remembered, and the limit of a server that is not listed. An
/// older report can arrive late from a VM that was cut off or paused.
const RETENTION: Duration = Duration::from_secs(60);
/// Relative change from which other VMs are told of a limit again.
const MIN_CHANGE_FRACTION: f64 = 0.1;

/// What a response said about the request limit of its backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The limit; `None` if the response named none.
    pub limit: Option<RequestLimit>,
    /// When the request was sent. At most `received_at`.
    pub sent_at: Uptime,
    /// When the response was received, by this VM or another one.
    pub received_at: Uptime,
}

impl LimitReport {
    /// Whether this report replaces an earlier one of the same start.
    ///
    /// Responses overtake each other, so one that would raise or end a limit counts only if its
    /// request was sent after the limit was last named.
    fn replaces(&self, known: &LimitReport) -> bool {
        let raises = match (self.limit, known.limit) {
            (Some(limit), Some(before)) => limit > before,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        let since = if raises { self.sent_at } else { self.received_at };
        since > known.received_at
    }
}

/// What became of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// It changes the limit so much that other VMs must be told.
    News,
    /// It changes the limit slightly, or says the same as before.
    Minor,
    /// It is older than what is known, and differs from it.
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    report: LimitReport,
    /// Limit that other VMs were last told.
    told: Option<RequestLimit>,
    /// When the report was made or its server was last listed.
    kept_at: Uptime,
}

/// Request limits by start of a backend server, also of servers that are not in the list. Servers
/// that have named no limit have no entry.
///
/// Handles a limit that rises, falls and ends while VMs hear of it in any order: what counts is when
/// the server named it, and a new start of the server begins without one.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    entries: HashMap<StartKey, Entry>,
}

/// Whether other VMs that know one limit must be told the other.
fn differs(told: Option<RequestLimit>, limit: Option<RequestLimit>) -> bool {
    match (told, limit) {
        (Some(told), Some(limit)) => {
            let change = (told.per_second() - limit.per_second()).abs();
            change > MIN_CHANGE_FRACTION * told.per_second().max(limit.per_second())
        }
        (told, limit) => told.is_some() != limit.is_some(),
    }
}

impl LimitTable {
    /// What is known of a start; `None` if it has named no limit lately.
    pub fn get(&self, key: StartKey) -> Option<LimitReport> {
        self.entries.get(&key).map(|entry| entry.report)
    }

    /// Limit that is in force for a start.
    pub fn limit(&self, key: StartKey) -> Option<RequestLimit> {
        self.get(key)?.limit
    }

    /// Adds what a response to this VM said.
    pub fn record(&mut self, now: Uptime, key: StartKey, report: LimitReport) -> LimitChange {
        self.add(now, key, report, false)
    }

    /// Adds what another VM reports.
    pub fn merge(&mut self, now: Uptime, key: StartKey, report: LimitReport) -> LimitChange {
        self.add(now, key, report, true)
    }

    fn add(
        &mut self,
        now: Uptime,
        key: StartKey,
        report: LimitReport,
        was_told: bool,
    ) -> LimitChange {
        let Some(entry) = self.entries.get_mut(&key) else {
            if report.limit.is_some() {
                self.entries.insert(key, Entry { report, told: report.limit, kept_at: now });
                return LimitChange::News;
            }
            return LimitChange::Minor;
        };
        if !report.replaces(&entry.report) {
            let outdated = differs(entry.report.limit, report.limit);
            return if outdated { LimitChange::Outdated } else { LimitChange::Minor };
        }
        entry.report = report;
        entry.kept_at = now;
        let is_news = differs(entry.told, report.limit);
        if is_news || was_told {
            entry.told = report.limit;
        }
        if is_news { LimitChange::News } else { LimitChange::Minor }
    }

    /// Limits in force.
    pub fn active(&self) -> impl Iterator<Item = (StartKey, LimitReport)> + '_ {
        let active = self.entries.iter().filter(|(_, entry)| entry.report.limit.is_some());
        active.map(|(key, entry)| (*key, entry.report))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server has named a limit lately.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops limits that ended, and those of servers that are not listed, after a while.
    pub fn prune(&mut self, now: Uptime, is_listed: impl Fn(StartKey) -> bool) {
        self.entries.retain(|key, entry| {
            if entry.report.limit.is_some() && is_listed(*key) {
                entry.kept_at = now;
            }
            now.saturating_sub(entry.kept_at) < RETENTION
        });
    }
}
