use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use adapter::{StoreRow, decode_backend, decode_gateway_config, era_of};
use dispatch::{
    BackendEntry, ChangeLog, ConfigHistory, ConfigPatch, DataVersions, WindowedRetryBudget,
    short_hash,
};
use kernel::prelude::*;

use crate::departures::{Departures, is_older};
use crate::node::Node;
use crate::placing::serve_queue;

/// Time after a restore of the store in which a list may lack entries that are written again.
const RESTORE_TIME: Duration = Duration::from_secs(4);

/// A confirmation of data by the store. It may be older than this process, and so than any of its
/// times.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// When this VM learned of it.
    learned_at: Uptime,
    /// How old it was then.
    age: Duration,
}

impl Confirmation {
    /// Time since the store responded.
    fn staleness(self, now: Uptime) -> Duration {
        self.age + now.saturating_sub(self.learned_at)
    }
}

/// Local copy of the store's configuration and backend servers, also served to other VMs.
#[derive(Debug, Default)]
pub struct StoreCache {
    /// Encoded configuration in force, and the patches that lead to it.
    pub configuration: ConfigHistory,
    /// Usable entries of backend servers.
    pub rows: BTreeMap<Box<str>, StoreRow>,
    /// Version of `rows`; 0 before the first read.
    pub backends_version: u64,
    /// Rows that were removed lately.
    pub departures: Departures,
    /// When this VM learned of the era of the store; `None` before the first one.
    era_learned: Option<Uptime>,
    /// Ids that changed in `rows`, by version.
    pub changes: ChangeLog,
    /// Checksum of `rows`; see [`checksum`].
    pub checksum: u64,
    /// Last confirmation of the configuration by the store, directly or through another VM.
    configuration_confirmed: Option<Confirmation>,
    /// Last confirmation of the backend servers by the store, directly or through another VM.
    backends_confirmed: Option<Confirmation>,
    /// Whether this VM's last call to the store failed.
    pub store_failing: bool,
    /// Whether any call of this VM to the store has failed.
    pub store_failed: bool,
}

impl StoreCache {
    /// Version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.configuration.version()
    }

    /// Versions of the configuration and of the list of backend servers.
    pub fn versions(&self) -> DataVersions {
        DataVersions { config: self.config_version(), backends: self.backends_version }
    }

    /// Approximate number of bytes that a VM with these versions is missing.
    pub fn bytes_since(&mut self, version: ConfigVersion, backends: u64) -> usize {
        // An error here is one of the compression, and the whole text is sent.
        let config = match self.configuration.since(version) {
            Ok(update) => update.map_or(0, |update| update.size()),
            Err(_) => usize::MAX / 2,
        };
        let size = |row: &StoreRow| row.key.len() + row.value.as_ref().map_or(0, |v| v.len());
        let rows = match self.changes.since(backends) {
            _ if backends >= self.backends_version => 0,
            Some(keys) => keys.into_iter().filter_map(|key| self.rows.get(key)).map(size).sum(),
            None => self.rows.values().map(size).sum::<usize>(),
        };
        config + rows
    }

    /// Whether the store may have come back from a copy so lately that not all is written again.
    pub fn is_restore_recent(&self, now: Uptime) -> bool {
        self.era_learned.is_some_and(|at| now.saturating_sub(at) < RESTORE_TIME)
    }

    /// Time since the older of the two confirmations; one hour if either is missing.
    pub fn staleness(&self, now: Uptime) -> Duration {
        match (self.configuration_confirmed, self.backends_confirmed) {
            (Some(a), Some(b)) => a.staleness(now).max(b.staleness(now)),
            _ => Duration::from_secs(3600),
        }
    }
}

/// Applies a configuration if it is newer than the one in force. `patches` are those that it was
/// made with, if another VM sent them.
pub fn apply_configuration(node: &Node, value: &[u8], patches: &[ConfigPatch], source: &str) {
    let config = match decode_gateway_config(value) {
        Ok(config) => config,
        Err(error) => {
            telemetry::event!(CONFIG_REFUSED, source = source, error = error.to_string());
            return;
        }
    };
    let version = config.version;
    {
        let mut cache = node.cache();
        if cache.configuration.text().is_some() && version <= cache.config_version() {
            return;
        }
        if let Err(error) = cache.configuration.replace(version, value.into(), patches) {
            // The others pull all of the configuration then.
            telemetry::event!(PATCH_FAILED, version = version, error = error.to_string());
        }
    }
    let now = node.now();
    let mut state = node.state();
    let boot_config = node.boot_config.load();
    let domain_count = boot_config.domain_regions.len();
    let rates = config.organisations.iter().map(|o| (&o.id, o.rate));
    let fleet_limits = &boot_config.fleet_limits;
    state.quota.configure(now, rates, domain_count, fleet_limits.rate_slack);
    for name in config.services.keys() {
        let service = state.services.entry(name.clone()).or_default();
        if service.retry_budget.is_none() {
            let slack = fleet_limits.min_retries / domain_count.max(1) as f64;
            service.retry_budget = Some(WindowedRetryBudget::new(
                fleet_limits.retry_ratio,
                slack,
                fleet_limits.retry_window,
            ));
        }
    }
    let routes: HashMap<&str, ()> = config.routes.iter().map(|r| (&*r.id, ())).collect();
    state.estimates.retain(|id, _| routes.contains_key(&**id));
    // The weights may have changed.
    state.traffic_splits.clear();
    drop(state);
    node.config.store(Some(Arc::new(config)));
    update_synced(node);
    telemetry::event!(CONFIG_LEARNED, version = version, source = source);
    node.heartbeat_wake.notify_one();
}

fn decode_entries(rows: &BTreeMap<Box<str>, StoreRow>) -> BTreeMap<BackendId, BackendEntry> {
    let mut entries = BTreeMap::new();
    for (id, row) in rows {
        // Rows that cannot be decoded were logged when they were received.
        if let Some(Ok(entry)) = row.value.as_deref().map(|value| decode_backend(id, value)) {
            entries.insert(id.clone(), entry);
        }
    }
    entries
}

/// Checksum over the id, start time, service, address and draining state of each backend server in
/// a list, equal on all VMs with the list.
pub fn checksum(entries: &BTreeMap<BackendId, BackendEntry>) -> u64 {
    let one = |entry: &BackendEntry| {
        let BackendEntry { id, started_ms, service, address, draining, .. } = entry;
        u64::from(short_hash(&format!("{id} {started_ms} {service} {address} {draining}")))
    };
    entries.values().map(one).fold(0, u64::wrapping_add)
}

/// Decodes the valid entries among rows, and computes their checksum.
pub fn decode_with_checksum(
    rows: &BTreeMap<Box<str>, StoreRow>,
) -> (BTreeMap<BackendId, BackendEntry>, u64) {
    let entries = decode_entries(rows);
    let sum = checksum(&entries);
    (entries, sum)
}

/// Ids of the backend servers that differ between two lists, apart from their warm-up.
fn changed_ids(
    before: &BTreeMap<BackendId, BackendEntry>,
    after: &BTreeMap<BackendId, BackendEntry>,
) -> Vec<BackendId> {
    let is_same =
        |a: &BackendEntry, b: &BackendEntry| BackendEntry { warmup: b.warmup, ..a.clone() } == *b;
    let added = after
        .iter()
        .filter(|(id, entry)| !before.get(*id).is_some_and(|old| is_same(old, entry)))
        .map(|(id, _)| id.clone());
    let removed = before.keys().filter(|id| !after.contains_key(*id)).cloned();
    added.chain(removed).collect()
}

/// Replaces the rows of another VM that are older than those known here.
fn keep_later_rows(
    cache: &StoreCache,
    mut rows: BTreeMap<Box<str>, StoreRow>,
) -> BTreeMap<Box<str>, StoreRow> {
    rows.retain(|_, row| !cache.departures.is_outdated(row));
    for (key, row) in &mut rows {
        if let Some(known) = cache.rows.get(key).filter(|known| is_older(row, known)) {
            row.clone_from(known);
        }
    }
    rows
}

/// Applies the complete list of backend servers of a version, unless a newer one is known.
pub fn apply_backends(node: &Node, rows: BTreeMap<Box<str>, StoreRow>, version: u64, source: &str) {
    let rows = match source {
        "store" => rows,
        // The sender may have started in a restore of the store, and know less.
        _ => keep_later_rows(&node.cache(), rows),
    };
    let (entries, sum) = decode_with_checksum(&rows);
    let changed = changed_ids(&node.state().entries, &entries);
    {
        let now = node.now();
        let mut cache = node.cache();
        if version < cache.backends_version {
            return;
        }
        let StoreCache { rows: known, departures, .. } = &mut *cache;
        for (_, row) in known.iter().filter(|(key, _)| !rows.contains_key(*key)) {
            departures.record(now, row, version / 2);
        }
        let known_era = era_of(cache.backends_version / 2);
        if known_era < era_of(version / 2) {
            cache.era_learned = Some(now);
            if cache.backends_version > 0 {
                node.register_wake.notify_one();
            }
        }
        cache.rows = rows;
        cache.backends_version = version;
        cache.checksum = sum;
        cache.changes.record(version, changed.into_iter());
    }
    let now = node.now();
    let mut state = node.state();
    let before = std::mem::take(&mut state.entries);
    for (id, entry) in &entries {
        if before
            .get(id)
            .is_none_or(|old| old.draining != entry.draining || old.started_ms != entry.started_ms)
        {
            telemetry::event!(
                BACKEND_LISTED,
                backend = id,
                service = entry.service,
                draining = entry.draining,
                version = version,
                source = source,
            );
        }
    }
    let (_, removed) = state.backends.update(now, &entries);
    for (id, _) in &removed {
        telemetry::event!(BACKEND_GONE, backend = id, version = version, source = source);
    }
    state.entries = entries;
    let services: Vec<ServiceId> = state.services.keys().cloned().collect();
    for service in services {
        serve_queue(node, &mut state, now, &service);
    }
    drop(state);
    update_synced(node);
    node.heartbeat_wake.notify_one();
}

/// Makes this VM eligible as leader, and wakes the requests that wait, once it may serve.
pub fn update_synced(node: &Node) {
    if node.check_confirmed() {
        let eligible = !node.is_stopping();
        node.state().election.set_eligible(eligible);
        node.synced.notify_waiters();
        node.election_wake.notify_one();
        node.heartbeat_wake.notify_one();
    }
}

/// Records that the store confirmed the given parts `age` ago.
pub fn record_confirmation(node: &Node, age: Duration, configuration: bool, backends: bool) {
    let now = node.now();
    let confirm = |known: &mut Option<Confirmation>| {
        if known.is_none_or(|known| age <= known.staleness(now)) {
            *known = Some(Confirmation { learned_at: now, age });
        }
    };
    let mut cache = node.cache();
    if configuration {
        confirm(&mut cache.configuration_confirmed);
    }
    if backends {
        confirm(&mut cache.backends_confirmed);
    }
    drop(cache);
    update_synced(node);
}
