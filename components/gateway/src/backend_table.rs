use std::collections::{BTreeMap, BTreeSet};

use adapter::{StoreRow, decode_backend, era_of};
use kernel::prelude::*;

use crate::departures::{Departures, is_older};

/// Accuracy of the times of the store's responses that are taken from heartbeats. A response to
/// another VM proves that the store was reachable in an outage only if it is later than the start
/// of the outage by more than this.
const TIMING_MARGIN: Duration = Duration::from_millis(1000);
/// Maximum wait of a watch with rows in grace, so that the grace period ends soon after another VM
/// reports a response of the store.
const MAX_GRACE_WAIT: Duration = Duration::from_millis(200);
/// Minimum wait of a watch, so that an expiring grace period causes no burst of calls.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// Rows of the store's table of backend servers, as kept by a watch.
///
/// Rows that are missing right after an outage of the store stay in use for a grace period, in
/// which their backend servers register again. A VM that holds rows in grace must keep watching,
/// because other VMs may hold the same version without them.
#[derive(Debug, Default)]
pub struct BackendTable {
    rows: BTreeMap<Box<str>, StoreRow>,
    /// Rows that were removed lately.
    departures: Departures,
    /// Rows missing from the store since its outage, and when each is removed.
    in_grace: BTreeMap<Box<str>, Uptime>,
    /// Until when rows that go missing enter the grace period.
    grace_end: Uptime,
    /// Start and end of the outage that the grace period follows.
    outage: (Uptime, Uptime),
    /// Store version of the last relevant change: a row that was added or removed, or that differs
    /// in a field other than its sequence and warm-up.
    store_version: u64,
    /// Whether something relevant has changed since the last `take_changed`.
    changed: bool,
}

impl BackendTable {
    /// Replaces the rows by those received from another VM.
    pub fn replace_rows(
        &mut self,
        rows: BTreeMap<Box<str>, StoreRow>,
        version: u64,
        departures: Departures,
    ) {
        self.rows = rows;
        self.departures = departures;
        self.store_version = version / 2;
        self.in_grace.clear();
        self.changed = false;
    }

    /// Rows in use, including those in grace.
    pub fn rows(&self) -> &BTreeMap<Box<str>, StoreRow> {
        &self.rows
    }

    /// Version of the list: twice the store version of the last relevant change, plus one if no
    /// row is in grace. Of two lists with the same store version the settled one is newer.
    pub fn version(&self) -> u64 {
        self.store_version * 2 + u64::from(self.is_settled())
    }

    /// Returns whether something relevant has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether no row is in grace.
    pub fn is_settled(&self) -> bool {
        self.in_grace.is_empty()
    }

    /// Starts the grace period after an outage of the store; missing rows stay in use for `grace`.
    pub fn start_grace(&mut self, outage: Duration, now: Uptime, grace: Duration) {
        self.outage = (now.saturating_sub(outage), now);
        self.grace_end = now + grace;
    }

    /// Ends the grace period if the store responded to another VM during the outage. Then only this
    /// VM was cut off, and no row expired for lack of heartbeats.
    pub fn end_grace_if_store_responded(
        &mut self,
        now: Uptime,
        responded_at: Option<Uptime>,
        version: u64,
    ) {
        let (start, end) = self.outage;
        if now < self.grace_end
            && responded_at.is_some_and(|at| at > start + TIMING_MARGIN && at < end)
        {
            self.grace_end = now;
            self.in_grace.values_mut().for_each(|until| *until = now);
            self.expire(now, version);
        }
    }

    /// Whether the store has come back from a copy since the last relevant change.
    pub fn is_earlier_era(&self, version: u64) -> bool {
        !self.rows.is_empty() && era_of(self.store_version) < era_of(version)
    }

    /// Whether a row was last written in an earlier era, as far as this VM has read it.
    pub fn has_earlier_rows(&self, version: u64) -> bool {
        self.rows.values().any(|row| era_of(row.version) < era_of(version))
    }

    /// Begins an era of the store at a version. Rows that are missing stay in use for `grace`, in which
    /// they are written again. All VMs are told, also if nothing has changed.
    pub fn begin_era(&mut self, now: Uptime, version: u64, grace: Duration) {
        self.start_grace(Duration::ZERO, now, grace);
        self.store_version = self.store_version.max(version);
        self.changed = true;
    }

    /// Inserts or updates a row of a complete read, unless a later one is known. Returns whether it
    /// did.
    pub fn put_listed(&mut self, row: StoreRow) -> bool {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| is_older(&row, known)) || self.departures.is_outdated(&row) {
            return false;
        }
        self.put(row);
        true
    }

    /// Whether a row has a relevant change.
    fn differs(old: Option<&StoreRow>, new: &StoreRow) -> bool {
        let decode = |row: &StoreRow| {
            let value = row.value.as_deref()?;
            let entry = decode_backend(&row.key, value).ok()?;
            Some((
                entry.started_ms,
                entry.service,
                entry.address,
                entry.domain,
                entry.slots,
                entry.draining,
            ))
        };
        old.and_then(decode) != decode(new)
    }

    /// Inserts or updates a row.
    pub fn put(&mut self, row: StoreRow) {
        self.changed |= self.in_grace.remove(&row.key).is_some();
        if Self::differs(self.rows.get(&row.key), &row) {
            self.store_version = self.store_version.max(row.version);
            self.changed = true;
        }
        self.rows.insert(row.key.clone(), row);
    }

    /// Removes a row, or keeps it in use until the end of the grace period.
    pub fn remove(&mut self, now: Uptime, key: &str, version: u64) {
        if !self.rows.contains_key(key) {
            return;
        }
        if now < self.grace_end {
            self.in_grace.entry(key.into()).or_insert(self.grace_end);
            self.changed = true;
            return;
        }
        self.remove_now(now, key, version);
    }

    fn remove_now(&mut self, now: Uptime, key: &str, version: u64) {
        if let Some(row) = self.rows.remove(key) {
            self.departures.record(now, &row, version);
        }
        self.store_version = self.store_version.max(version);
        self.changed = true;
    }

    /// Removes the rows that a full read of the table did not return.
    pub fn retain_listed(&mut self, now: Uptime, listed: &BTreeSet<Box<str>>, version: u64) {
        let unlisted: Vec<Box<str>> =
            self.rows.keys().filter(|key| !listed.contains(*key)).cloned().collect();
        for key in unlisted {
            self.remove(now, &key, version);
        }
    }

    /// Removes the rows whose grace period has ended.
    pub fn expire(&mut self, now: Uptime, version: u64) {
        let expired: Vec<Box<str>> = self
            .in_grace
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.in_grace.remove(&key);
            self.remove_now(now, &key, version);
        }
    }

    /// Time until the next row in grace expires, at most `max_wait`.
    pub fn next_wait(&self, now: Uptime, max_wait: Duration) -> Duration {
        let max_wait = if self.is_settled() { max_wait } else { max_wait.min(MAX_GRACE_WAIT) };
        let next = self.in_grace.values().min().copied().unwrap_or(now + max_wait);
        next.saturating_sub(now).min(max_wait).max(MIN_WAIT)
    }
}
