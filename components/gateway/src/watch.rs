use std::collections::BTreeMap;
use std::sync::Arc;

use adapter::{RawRow, StoreError, Table, decode_backend};
use dispatch::Watcher;
use kernel::prelude::*;
use tokio::time::sleep;

use crate::knowledge::{confirm, learn_backends, learn_configuration};
use crate::node::Node;

/// Longest pause between two checks whether this VM has to watch.
const CHECK: Duration = Duration::from_millis(200);
/// Key of the configuration in its table.
const CONFIGURATION: &str = "config";

/// Whether this VM watches the store now.
fn has_to_watch(node: &Node) -> bool {
    let now = node.now();
    let (informed, age) = {
        let knowledge = node.knowledge();
        (knowledge.version > 0 && knowledge.backends > 0, knowledge.age(now))
    };
    let state = node.state();
    let home = state.election.home();
    Watcher {
        home: home == Some(node.vm),
        place: node.place_in_line(&state, now),
        uptime: now,
        informed,
        age,
        silence: state.home_heard.map(|at| now.saturating_sub(at)),
        failing: home.and_then(|vm| state.mates.get(&vm)).is_some_and(|mate| mate.failing),
    }
    .has_duty()
}

/// Pauses after failed calls, longer each time.
struct Pauses {
    failures: u32,
    table: &'static str,
}

impl Pauses {
    fn failed(&mut self, node: &Node, error: &StoreError) -> Duration {
        node.metrics.store_call(self.table, false);
        node.knowledge().failing = true;
        self.failures += 1;
        if self.failures == 1 {
            telemetry::event!(WATCH_LOST, table = self.table, error = error.to_string());
            node.beat.notify_one();
        }
        let longest = node.options.store_pause_most;
        let pause = (node.options.store_pause * self.failures).min(longest);
        // Spread, so that VMs do not come back at once.
        pause.mul_f64(0.75 + (node.random() % 512) as f64 / 1024.0)
    }

    /// Notes an answer; returns whether calls had failed before it.
    fn worked(&mut self, node: &Node) -> bool {
        node.metrics.store_call(self.table, true);
        let was_failing = self.failures > 0;
        if was_failing {
            telemetry::event!(WATCH_BACK, table = self.table, failures = self.failures);
        }
        self.failures = 0;
        node.knowledge().failing = false;
        was_failing
    }
}

async fn wait_for_duty(node: &Node) -> bool {
    let mut idle = false;
    while !has_to_watch(node) {
        idle = true;
        tokio::select! {
            () = node.watch.notified() => {}
            () = sleep(CHECK) => {}
        }
    }
    idle
}

/// Watches the configuration while this VM has to.
pub async fn watch_configuration(node: Arc<Node>) {
    let mut after = 0;
    let mut pauses = Pauses { failures: 0, table: "configuration" };
    let mut client = node.store();
    loop {
        if wait_for_duty(&node).await {
            after = 0;
            client = node.store();
        }
        let result = if after == 0 {
            client.rows(Table::Operator).await
        } else {
            client.feed(Table::Operator, after, node.options.feed_wait).await
        };
        match result {
            Ok(answer) => {
                pauses.worked(&node);
                after = answer.version.max(1);
                for row in answer.rows.iter().filter(|row| *row.key == *CONFIGURATION) {
                    if let Some(value) = &row.value {
                        learn_configuration(&node, value, "store");
                    }
                }
                confirm(&node, Duration::ZERO, true, false);
            }
            Err(StoreError::HistoryLost) => {
                telemetry::event!(WATCH_REREAD, table = pauses.table);
                after = 0;
            }
            Err(error) => {
                let pause = pauses.failed(&node, &error);
                client = node.store();
                sleep(pause).await;
            }
        }
    }
}

/// Rows of backend servers as a watch knows them.
#[derive(Default)]
struct Listing {
    rows: BTreeMap<Box<str>, RawRow>,
    /// Rows that are missing since the store returned, and until when they stay in use.
    missing: BTreeMap<Box<str>, Uptime>,
    /// Until when missing rows stay in use.
    grace: Uptime,
    /// Version of the last change that matters.
    version: u64,
}

impl Listing {
    /// Whether a row says something else than before, its sequence and warm-up aside.
    fn differs(old: Option<&RawRow>, new: &RawRow) -> bool {
        let decode = |row: &RawRow| {
            let value = row.value.as_deref()?;
            let entry = decode_backend(&row.key, value).ok()?;
            Some((
                entry.born,
                entry.service,
                entry.address,
                entry.domain,
                entry.slots,
                entry.draining,
            ))
        };
        old.and_then(decode) != decode(new)
    }

    fn put(&mut self, row: RawRow) {
        self.missing.remove(&row.key);
        if let Some(value) = &row.value
            && let Err(error) = decode_backend(&row.key, value)
        {
            telemetry::event!(ENTRY_UNREADABLE, backend = row.key, error = error.to_string());
        }
        if Self::differs(self.rows.get(&row.key), &row) {
            self.version = self.version.max(row.version);
        }
        self.rows.insert(row.key.clone(), row);
    }

    fn drop_row(&mut self, now: Uptime, key: &str, version: u64) {
        if !self.rows.contains_key(key) {
            return;
        }
        if now < self.grace {
            self.missing.entry(key.into()).or_insert(self.grace);
            return;
        }
        self.rows.remove(key);
        self.version = self.version.max(version);
    }

    /// Takes the whole table.
    fn replace(&mut self, now: Uptime, rows: Vec<RawRow>, version: u64) {
        let listed: std::collections::BTreeSet<Box<str>> =
            rows.iter().map(|row| row.key.clone()).collect();
        for row in rows {
            self.put(row);
        }
        let lost: Vec<Box<str>> =
            self.rows.keys().filter(|key| !listed.contains(*key)).cloned().collect();
        for key in lost {
            self.drop_row(now, &key, version);
        }
    }

    /// Drops the rows whose grace is over.
    fn expire(&mut self, now: Uptime, version: u64) {
        let over: Vec<Box<str>> =
            self.missing.iter().filter(|(_, at)| **at <= now).map(|(key, _)| key.clone()).collect();
        for key in over {
            self.missing.remove(&key);
            self.rows.remove(&key);
            self.version = self.version.max(version);
        }
    }

    fn wait(&self, now: Uptime, longest: Duration) -> Duration {
        let next = self.missing.values().min().copied().unwrap_or(now + longest);
        next.saturating_sub(now).min(longest).max(Duration::from_millis(50))
    }
}

/// Watches the entries of backend servers while this VM has to.
pub async fn watch_backends(node: Arc<Node>) {
    let mut after = 0;
    let mut pauses = Pauses { failures: 0, table: "backends" };
    let mut client = node.store();
    let mut listing = Listing::default();
    loop {
        if wait_for_duty(&node).await {
            after = 0;
            client = node.store();
            // Goes on from what other VMs have told.
            let knowledge = node.knowledge();
            listing.rows = knowledge.rows.clone();
            listing.version = knowledge.backends;
        }
        let wait = listing.wait(node.now(), node.options.feed_wait);
        let whole = after == 0;
        let result = if whole {
            client.rows(Table::Backends).await
        } else {
            client.feed(Table::Backends, after, wait).await
        };
        match result {
            Ok(answer) => {
                let now = node.now();
                if pauses.worked(&node) {
                    listing.grace = now + node.options.return_grace;
                }
                after = answer.version.max(1);
                let before = listing.version;
                if whole {
                    listing.replace(now, answer.rows, answer.version);
                } else {
                    for row in answer.rows {
                        match row.value {
                            Some(_) => listing.put(row),
                            None => {
                                listing.drop_row(now, &row.key, row.version.max(answer.version))
                            }
                        }
                    }
                }
                listing.expire(now, answer.version);
                if listing.version > before || (whole && node.knowledge().backends == 0) {
                    let version = listing.version.max(1);
                    learn_backends(&node, listing.rows.clone(), version, "store");
                }
                confirm(&node, Duration::ZERO, false, true);
            }
            Err(StoreError::HistoryLost) => {
                telemetry::event!(WATCH_REREAD, table = pauses.table);
                after = 0;
            }
            Err(error) => {
                let pause = pauses.failed(&node, &error);
                client = node.store();
                sleep(pause).await;
            }
        }
    }
}
