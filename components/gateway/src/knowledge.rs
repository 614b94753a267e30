use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use adapter::{StoreRow, decode_backend, decode_gateway_config};
use dispatch::{BackendEntry, ChangeLog, RetryBudget, short_hash};
use kernel::prelude::*;

use crate::node::Node;
use crate::slot::pump;

/// Copies of what the store says, as other VMs of the failure domain ask for them.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// Text of the configuration in force.
    pub configuration: Option<Arc<[u8]>>,
    /// Version of the configuration in force; 0 is none.
    pub version: ConfigVersion,
    /// Usable entries of backend servers.
    pub rows: BTreeMap<Box<str>, StoreRow>,
    /// Version of `rows`; 0 is never.
    pub backends: u64,
    /// What changed in `rows` at which version.
    pub changes: ChangeLog,
    /// Checksum of `rows`; see [`checksum`].
    pub checksum: u64,
    /// When the store last confirmed the configuration, itself or through another VM.
    pub configuration_at: Option<Uptime>,
    /// When the store last confirmed the backend servers, itself or through another VM.
    pub backends_at: Option<Uptime>,
    /// Whether this VM's own last call to the store failed.
    pub failing: bool,
}

impl Knowledge {
    /// Time since both parts were confirmed.
    pub fn age(&self, now: Uptime) -> Duration {
        match (self.configuration_at, self.backends_at) {
            (Some(a), Some(b)) => now.saturating_sub(a.min(b)),
            _ => Duration::from_secs(3600),
        }
    }
}

/// Puts a configuration into force if it is newer than the one in force.
pub fn learn_configuration(node: &Node, value: &[u8], source: &str) {
    let catalogue = match decode_gateway_config(value) {
        Ok(catalogue) => catalogue,
        Err(error) => {
            telemetry::event!(CONFIG_REFUSED, source = source, error = error.to_string());
            return;
        }
    };
    let version = catalogue.version;
    {
        let mut knowledge = node.knowledge();
        if knowledge.configuration.is_some() && version <= knowledge.version {
            return;
        }
        knowledge.configuration = Some(value.into());
        knowledge.version = version;
    }
    let now = node.now();
    let mut state = node.state();
    let boot = node.boot.load();
    let servers = boot.domain_regions.len();
    let rates = catalogue.organisations.iter().map(|o| (&o.id, o.rate));
    let bounds = &boot.fleet_limits;
    state.quota.configure(now, rates, servers, bounds.rate_slack);
    for name in catalogue.services.keys() {
        let service = state.services.entry(name.clone()).or_default();
        if service.allowance.is_none() {
            let slack = bounds.min_retries / servers.max(1) as f64;
            service.allowance =
                Some(RetryBudget::new(bounds.retry_ratio, slack, bounds.retry_window));
        }
    }
    let routes: HashMap<&str, ()> = catalogue.routes.iter().map(|r| (&*r.id, ())).collect();
    state.usual.retain(|id, _| routes.contains_key(&**id));
    // Weights may have changed with the version.
    state.splits.clear();
    drop(state);
    node.catalogue.store(Some(Arc::new(catalogue)));
    update_able(node);
    node.configured.notify_waiters();
    telemetry::event!(CONFIG_LEARNED, version = version, source = source);
    node.beat.notify_one();
}

fn usable(rows: &BTreeMap<Box<str>, StoreRow>) -> BTreeMap<BackendId, BackendEntry> {
    let mut entries = BTreeMap::new();
    for (id, row) in rows {
        // Rows that cannot be read were logged when they came.
        if let Some(Ok(entry)) = row.value.as_deref().map(|value| decode_backend(id, value)) {
            entries.insert(id.clone(), entry);
        }
    }
    entries
}

/// Checksum of what matters of a list of backend servers, the same on every VM that has the list.
pub fn checksum(entries: &BTreeMap<BackendId, BackendEntry>) -> u64 {
    let one = |entry: &BackendEntry| {
        let BackendEntry { id, started_ms, service, address, draining, .. } = entry;
        u64::from(short_hash(&format!("{id} {started_ms} {service} {address} {draining}")))
    };
    entries.values().map(one).fold(0, u64::wrapping_add)
}

/// Usable entries among rows, and their checksum.
pub fn checked(rows: &BTreeMap<Box<str>, StoreRow>) -> (BTreeMap<BackendId, BackendEntry>, u64) {
    let entries = usable(rows);
    let sum = checksum(&entries);
    (entries, sum)
}

/// Ids of the backend servers that two lists do not agree on; time after a start does not count.
fn changed_ids(
    before: &BTreeMap<BackendId, BackendEntry>,
    after: &BTreeMap<BackendId, BackendEntry>,
) -> Vec<BackendId> {
    let same =
        |a: &BackendEntry, b: &BackendEntry| BackendEntry { warmup: b.warmup, ..a.clone() } == *b;
    let came = after
        .iter()
        .filter(|(id, entry)| !before.get(*id).is_some_and(|old| same(old, entry)))
        .map(|(id, _)| id.clone());
    let left = before.keys().filter(|id| !after.contains_key(*id)).cloned();
    came.chain(left).collect()
}

/// Takes the rows of all backend servers as of a store version.
pub fn learn_backends(node: &Node, rows: BTreeMap<Box<str>, StoreRow>, version: u64, source: &str) {
    let (entries, sum) = checked(&rows);
    let changed = changed_ids(&node.state().entries, &entries);
    {
        let mut knowledge = node.knowledge();
        if version < knowledge.backends {
            return;
        }
        knowledge.rows = rows;
        knowledge.backends = version;
        knowledge.checksum = sum;
        knowledge.changes.record(version, changed.into_iter());
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
    let (_, gone) = state.backends.update(now, &entries);
    for (id, _) in &gone {
        telemetry::event!(BACKEND_GONE, backend = id, version = version, source = source);
    }
    state.entries = entries;
    let services: Vec<ServiceId> = state.services.keys().cloned().collect();
    for service in services {
        pump(node, &mut state, now, &service);
    }
    drop(state);
    update_able(node);
    node.configured.notify_waiters();
    node.beat.notify_one();
}

/// Stands for election once it can serve.
fn update_able(node: &Node) {
    let able = node.is_informed() && !node.is_stopping();
    node.state().election.set_eligible(able);
}

/// Notes that the store has confirmed what is known, `age` ago.
pub fn confirm(node: &Node, age: Duration, configuration: bool, backends: bool) {
    let at = node.now().saturating_sub(age);
    let mut knowledge = node.knowledge();
    if configuration {
        knowledge.configuration_at = knowledge.configuration_at.max(Some(at));
    }
    if backends {
        knowledge.backends_at = knowledge.backends_at.max(Some(at));
    }
}
