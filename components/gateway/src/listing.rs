use std::collections::{BTreeMap, BTreeSet};

use adapter::{StoreRow, decode_backend};
use kernel::prelude::*;

/// Time into an outage from which an answer to another VM shows that the store was not away; what
/// beats tell of times is that exact.
const CERTAIN: Duration = Duration::from_millis(1000);
/// Longest wait of a watch with rows in grace, so that what others tell ends it soon.
const GRACE_WAIT: Duration = Duration::from_millis(200);
/// Least time that a watch waits, so that an expiring grace causes no burst of calls.
const SHORTEST_WAIT: Duration = Duration::from_millis(50);

/// Rows of backend servers as a watch of the store knows them.
///
/// Rows that are missing right after the store returned stay in use for a grace: their backend
/// servers enter themselves again. Whoever holds rows in grace must go on watching, because
/// others may hold the same version without them.
#[derive(Debug, Default)]
pub struct Listing {
    rows: BTreeMap<Box<str>, StoreRow>,
    /// Rows that are missing since the store returned, and until when they stay in use.
    missing: BTreeMap<Box<str>, Uptime>,
    /// Until when missing rows stay in use.
    grace: Uptime,
    /// Start and end of the outage that the grace follows.
    outage: (Uptime, Uptime),
    /// Store version of the last change that matters.
    store_version: u64,
    /// Whether something has changed since it was asked last.
    changed: bool,
}

impl Listing {
    /// Continues from rows that another VM has sent.
    pub fn resume(&mut self, rows: BTreeMap<Box<str>, StoreRow>, version: u64) {
        self.rows = rows;
        self.store_version = version / 2;
        self.missing.clear();
        self.changed = false;
    }

    /// Rows in use.
    pub fn rows(&self) -> &BTreeMap<Box<str>, StoreRow> {
        &self.rows
    }

    /// Version of the list: twice the store version of the last change that matters, and one more
    /// without rows in grace. Of two lists at one store version the settled one is newer.
    pub fn version(&self) -> u64 {
        self.store_version * 2 + u64::from(self.is_settled())
    }

    /// Whether something that matters has changed since this was asked last.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether no row is in grace.
    pub fn is_settled(&self) -> bool {
        self.missing.is_empty()
    }

    /// Notes that the store answers again after an outage; missing rows stay in use for `grace`.
    pub fn store_returned(&mut self, outage: Duration, now: Uptime, grace: Duration) {
        self.outage = (now.saturating_sub(outage), now);
        self.grace = now + grace;
    }

    /// Ends the grace if the store has answered another VM meanwhile: then this VM was cut off,
    /// and no entry has lapsed that should not.
    pub fn note_seen(&mut self, now: Uptime, seen: Option<Uptime>, version: u64) {
        let (start, end) = self.outage;
        if now < self.grace && seen.is_some_and(|at| at > start + CERTAIN && at < end) {
            self.grace = now;
            self.missing.values_mut().for_each(|until| *until = now);
            self.expire(now, version);
        }
    }

    /// Whether a row says something else than before, its sequence and warm-up aside.
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

    /// Takes a row.
    pub fn put(&mut self, row: StoreRow) {
        self.changed |= self.missing.remove(&row.key).is_some();
        if Self::differs(self.rows.get(&row.key), &row) {
            self.store_version = self.store_version.max(row.version);
            self.changed = true;
        }
        self.rows.insert(row.key.clone(), row);
    }

    /// Takes the removal of a row.
    pub fn drop_row(&mut self, now: Uptime, key: &str, version: u64) {
        if !self.rows.contains_key(key) {
            return;
        }
        if now < self.grace {
            self.missing.entry(key.into()).or_insert(self.grace);
            self.changed = true;
            return;
        }
        self.rows.remove(key);
        self.store_version = self.store_version.max(version);
        self.changed = true;
    }

    /// Drops the rows that a reading of the whole table does not have.
    pub fn keep_only(&mut self, now: Uptime, listed: &BTreeSet<Box<str>>, version: u64) {
        let lost: Vec<Box<str>> =
            self.rows.keys().filter(|key| !listed.contains(*key)).cloned().collect();
        for key in lost {
            self.drop_row(now, &key, version);
        }
    }

    /// Drops the rows whose grace is over.
    pub fn expire(&mut self, now: Uptime, version: u64) {
        let over: Vec<Box<str>> =
            self.missing.iter().filter(|(_, at)| **at <= now).map(|(key, _)| key.clone()).collect();
        for key in over {
            self.missing.remove(&key);
            self.rows.remove(&key);
            self.store_version = self.store_version.max(version);
            self.changed = true;
        }
    }

    /// Time until the next row may be dropped, at most `longest`.
    pub fn wait(&self, now: Uptime, longest: Duration) -> Duration {
        let longest = if self.is_settled() { longest } else { longest.min(GRACE_WAIT) };
        let next = self.missing.values().min().copied().unwrap_or(now + longest);
        next.saturating_sub(now).min(longest).max(SHORTEST_WAIT)
    }
}
