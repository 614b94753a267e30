use std::collections::BTreeMap;

use adapter::{StoreRow, WriterOrder, decode_writer_order, era_of};
use kernel::RowVersion;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};

/// Time for which a backend server that has left is remembered. Longer than the store is away, and its
/// copy older, in a restore.
const RETENTION: Duration = Duration::from_secs(120);
/// Capacity; beyond it the oldest one is forgotten.
const MAX_DEPARTURES: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Order of the last entry.
    order: WriterOrder,
    /// Version of the store at which the entry was gone.
    version: RowVersion,
    at: Uptime,
}

/// Backend servers whose entries were removed lately.
///
/// Handles a store that comes back from an older copy: a server that left after the copy is in the
/// list again, and must not be used until it has written its entry anew.
#[derive(Clone, Debug, Default)]
pub struct Departures(BTreeMap<Box<str>, Departure>);

fn writer_order(row: &StoreRow) -> Option<WriterOrder> {
    decode_writer_order(row.value.as_deref()?)
}

/// Whether a row is older than one that is known. In one era of the store the versions of rows tell,
/// across eras the order in which the backend server wrote them.
pub fn is_older(row: &StoreRow, known: &StoreRow) -> bool {
    if era_of(row.version) == era_of(known.version) {
        return row.version < known.version;
    }
    match (writer_order(row), writer_order(known)) {
        (Some(order), Some(known)) => order < known,
        _ => false,
    }
}

/// A departure as VMs tell it to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DepartureRow {
    /// Id of the backend server.
    key: Box<str>,
    /// Start time and number of its last entry.
    order: WriterOrder,
    /// Version of the store at which the entry was gone.
    version: RowVersion,
    /// Time since then.
    age_ms: u64,
}

impl Departures {
    /// All departures that are remembered.
    pub fn encode(&self, now: Uptime) -> Vec<DepartureRow> {
        let recent = self.0.iter().filter(|(_, d)| now.saturating_sub(d.at) < RETENTION);
        recent
            .map(|(key, departure)| DepartureRow {
                key: key.clone(),
                order: departure.order,
                version: departure.version,
                age_ms: now.saturating_sub(departure.at).as_millis() as u64,
            })
            .collect()
    }

    /// Adds what another VM remembers, as far as this one does not.
    pub fn merge(&mut self, now: Uptime, rows: Vec<DepartureRow>) {
        for DepartureRow { key, order, version, age_ms } in rows {
            let at = now.saturating_sub(Duration::from_millis(age_ms));
            self.0.entry(key).or_insert(Departure { order, version, at });
        }
    }

    /// Records that a row was removed, as of a version of the store.
    pub fn record(&mut self, now: Uptime, row: &StoreRow, version: RowVersion) {
        let Some(order) = writer_order(row) else { return };
        self.0.retain(|_, departure| now.saturating_sub(departure.at) < RETENTION);
        if self.0.len() >= MAX_DEPARTURES
            && let Some(oldest) = self.0.iter().min_by_key(|(_, departure)| departure.at)
        {
            let oldest = oldest.0.clone();
            self.0.remove(&oldest);
        }
        self.0.insert(row.key.clone(), Departure { order, version, at: now });
    }

    /// Whether a row was written before its backend server left.
    pub fn is_outdated(&self, row: &StoreRow) -> bool {
        let Some(departure) = self.0.get(&row.key) else { return false };
        if era_of(row.version) == era_of(departure.version) {
            return row.version <= departure.version;
        }
        writer_order(row).is_some_and(|order| order <= departure.order)
    }
}
