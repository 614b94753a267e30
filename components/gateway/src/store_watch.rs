use std::collections::BTreeSet;
use std::sync::Arc;

use adapter::{StoreError, StoreRow, Table, decode_backend, era_of};
use dispatch::{Outage, WatchConditions};
use kernel::prelude::*;
use tokio::time::sleep;

use crate::BackendTable;
use crate::node::Node;
use crate::store_cache::{apply_backends, apply_configuration, record_confirmation};

/// Interval of checks whether this VM should watch the store.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Outages of at least this many heartbeat intervals of the backend servers may expire an entry. It
/// expires after three intervals without a heartbeat, and the last one before the outage may have
/// been written up to one interval earlier.
const MIN_OUTAGE_HEARTBEATS: u32 = 2;

/// Upper bound of the text of an error in the log: some errors quote what another writer wrote.
const MAX_ERROR_CHARS: usize = 200;

/// Inputs of the decision whether this VM should watch the store now.
fn watch_conditions(node: &Node) -> WatchConditions {
    let now = node.now();
    let (synced, staleness) = {
        let cache = node.cache();
        (cache.config_version() > 0 && cache.backends_version > 0, cache.staleness(now))
    };
    let state = node.state();
    let leader = state.election.leader();
    WatchConditions {
        is_leader: leader == Some(node.incarnation),
        rank: node.watch_rank(&state, now),
        uptime: now,
        since_announced: state.announced_at.map(|at| now.saturating_sub(at)),
        synced,
        unconfirmed: synced && !node.is_synced(),
        staleness,
        leader_silence: state.leader_seen.map(|at| now.saturating_sub(at)),
        leader_failing: leader
            .and_then(|vm| state.local_vms.get(&vm))
            .is_some_and(|heartbeat| heartbeat.store_failing),
    }
}

/// Backoff after failed calls to one table of the store.
struct Backoff {
    failures: u32,
    table: &'static str,
    outage: Outage,
}

impl Backoff {
    fn new(table: &'static str) -> Self {
        Backoff { failures: 0, table, outage: Outage::default() }
    }

    /// Records a failed call; returns the delay before the next one.
    fn record_failure(&mut self, node: &Node, started: Uptime, error: &StoreError) -> Duration {
        node.metrics.record_store_call(self.table, false);
        {
            let mut cache = node.cache();
            cache.store_failing = true;
            cache.store_failed = true;
        }
        self.failures += 1;
        if self.outage.record_failure(started) {
            telemetry::event!(WATCH_LOST, table = self.table, error = error.to_string());
            node.heartbeat_wake.notify_one();
        }
        let max = node.options.max_store_backoff;
        let delay = (node.options.store_backoff * self.failures).min(max);
        // Jitter keeps VMs from retrying at the same time.
        delay.mul_f64(0.75 + (node.random() % 512) as f64 / 1024.0)
    }

    /// Records a successful call; returns the length of the outage that it ends, if any.
    fn record_success(&mut self, node: &Node) -> Option<Duration> {
        node.metrics.record_store_call(self.table, true);
        let outage = self.outage.record_success(node.now());
        if outage.is_some() {
            telemetry::event!(WATCH_BACK, table = self.table, failures = self.failures);
        }
        self.failures = 0;
        node.cache().store_failing = false;
        outage
    }
}

async fn wait_until_watching(node: &Node, table: &str) -> bool {
    let mut waited = false;
    loop {
        let conditions = watch_conditions(node);
        if let Some(reason) = conditions.watch_reason() {
            if waited {
                telemetry::event!(
                    WATCH_BEGUN,
                    table = table,
                    reason = reason.name(),
                    rank = conditions.rank,
                    staleness_ms = conditions.staleness.as_millis() as u64,
                    leader_failing = conditions.leader_failing,
                );
            }
            return waited;
        }
        waited = true;
        tokio::select! {
            () = node.watch_wake.notified() => {}
            () = sleep(WATCH_CHECK_INTERVAL) => {}
        }
    }
}

/// Watches the configuration while this VM is responsible for it.
pub async fn watch_configuration(node: Arc<Node>) {
    let mut version_seen = 0;
    let mut backoff = Backoff::new("configuration");
    let mut client = node.store();
    loop {
        if wait_until_watching(&node, backoff.table).await {
            version_seen = 0;
            client = node.store();
        }
        let started = node.now();
        let result = if version_seen == 0 {
            client.read_table(Table::Operator).await
        } else {
            client
                .wait_for_changes(Table::Operator, version_seen, node.options.long_poll_wait)
                .await
        };
        match result {
            Ok(response) => {
                backoff.record_success(&node);
                version_seen = response.version.max(1);
                for row in response.rows.iter().filter(|row| row.is_configuration()) {
                    if let Some(value) = &row.value {
                        apply_configuration(&node, value, &[], "store");
                    }
                }
                record_confirmation(&node, Duration::ZERO, true, false);
            }
            Err(StoreError::HistoryTruncated) => {
                telemetry::event!(WATCH_REREAD, table = backoff.table);
                version_seen = 0;
            }
            Err(error) => {
                let delay = backoff.record_failure(&node, started, &error);
                client = node.store();
                sleep(delay).await;
            }
        }
    }
}

/// Takes over a row. One that is invalid names no backend server; its value, which may be large, is
/// neither kept nor sent to other VMs. Returns whether it did; a row of a complete read may be older
/// than what is known.
fn put_row(table: &mut BackendTable, row: StoreRow, is_listed: bool) -> bool {
    let decoded = row.value.as_deref().map(|value| decode_backend(&row.key, value));
    let Some(Err(error)) = decoded else {
        if is_listed {
            return table.put_listed(row);
        }
        table.put(row);
        return true;
    };
    let error: String = error.to_string().chars().take(MAX_ERROR_CHARS).collect();
    telemetry::event!(ENTRY_UNREADABLE, backend = row.key, error = error);
    table.put(StoreRow { value: None, ..row });
    true
}

/// Watches the table of backend servers while this VM is responsible for it.
pub async fn watch_backends(node: Arc<Node>) {
    let mut version_seen = 0;
    let mut backoff = Backoff::new("backends");
    let mut client = node.store();
    let mut table = BackendTable::default();
    loop {
        // A VM with rows in grace keeps watching until they are back or expired.
        if table.is_settled() && wait_until_watching(&node, backoff.table).await {
            version_seen = 0;
            client = node.store();
            // Other VMs may have sent newer rows in the meantime.
            let cache = node.cache();
            table.replace_rows(
                cache.rows.clone(),
                cache.backends_version,
                cache.departures.clone(),
            );
        }
        let wait = table.next_wait(node.now(), node.options.long_poll_wait);
        let full_read = version_seen == 0;
        let started = node.now();
        let result = if full_read {
            client.read_table(Table::Backends).await
        } else {
            client.wait_for_changes(Table::Backends, version_seen, wait).await
        };
        match result {
            Ok(response) => {
                let now = node.now();
                // A shorter outage cannot expire any entry.
                let min_outage = node.boot_config.load().heartbeat_interval * MIN_OUTAGE_HEARTBEATS;
                if let Some(outage) =
                    backoff.record_success(&node).filter(|outage| *outage >= min_outage)
                {
                    table.start_grace(outage, now, node.options.recovery_grace);
                }
                let store_seen = node.state().store_seen;
                version_seen = response.version.max(1);
                // The list of another VM may be of this era already, while it is written again.
                let is_restored = full_read
                    && (table.is_earlier_era(response.version)
                        || node.cache().is_restore_recent(now)
                            && table.has_earlier_rows(response.version));
                if is_restored {
                    table.begin_era(now, response.version, node.options.recovery_grace);
                }
                if full_read {
                    let listed: BTreeSet<Box<str>> =
                        response.rows.iter().map(|row| row.key.clone()).collect();
                    let mut outdated = 0;
                    for row in response.rows {
                        outdated += usize::from(!put_row(&mut table, row, true));
                    }
                    if is_restored {
                        let missing = table.rows().keys().filter(|key| !listed.contains(*key));
                        telemetry::event!(
                            STORE_RESTORED,
                            era = era_of(response.version),
                            version = response.version,
                            rows = listed.len(),
                            outdated = outdated,
                            missing = missing.count(),
                        );
                    }
                    table.retain_listed(now, &listed, response.version);
                } else {
                    for row in response.rows {
                        match row.value {
                            Some(_) => {
                                put_row(&mut table, row, false);
                            }
                            None => table.remove(now, &row.key, row.version.max(response.version)),
                        }
                    }
                }
                table.end_grace_if_store_responded(now, store_seen, response.version);
                table.expire(now, response.version);
                let version = table.version();
                if table.take_changed() || (full_read && node.cache().backends_version != version) {
                    apply_backends(&node, table.rows().clone(), version, "store");
                }
                record_confirmation(&node, Duration::ZERO, false, true);
            }
            Err(StoreError::HistoryTruncated) => {
                telemetry::event!(WATCH_REREAD, table = backoff.table);
                version_seen = 0;
            }
            Err(error) => {
                let delay = backoff.record_failure(&node, started, &error);
                client = node.store();
                sleep(delay).await;
            }
        }
    }
}
