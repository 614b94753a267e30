use std::sync::Arc;

use adapter::{StoreError, StoreRow, Table, decode_backend};
use dispatch::{Outage, StoreWatch};
use kernel::prelude::*;
use tokio::time::sleep;

use crate::Listing;
use crate::knowledge::{confirm, learn_backends, learn_configuration};
use crate::node::Node;

/// Longest pause between two checks whether this VM has to watch.
const CHECK: Duration = Duration::from_millis(200);
/// Beats of a backend server within an outage that lets its entry lapse: it lapses after three
/// without one, and the last may have come right after the one before the outage.
const LAPSE_BEATS: u32 = 2;

/// Whether this VM watches the store now.
fn has_to_watch(node: &Node) -> bool {
    let now = node.now();
    let (informed, age) = {
        let knowledge = node.knowledge();
        (knowledge.version > 0 && knowledge.backends > 0, knowledge.age(now))
    };
    let state = node.state();
    let home = state.election.leader();
    StoreWatch {
        is_leader: home == Some(node.vm),
        rank: node.watch_rank(&state, now),
        uptime: now,
        since_announced: state.announced.map(|at| now.saturating_sub(at)),
        initialized: informed,
        staleness: age,
        leader_silence: state.home_heard.map(|at| now.saturating_sub(at)),
        leader_failing: home
            .and_then(|vm| state.local_vms.get(&vm))
            .is_some_and(|beat| beat.failing),
    }
    .should_watch()
}

/// Pauses after failed calls, longer each time.
struct Pauses {
    failures: u32,
    table: &'static str,
    outage: Outage,
}

impl Pauses {
    fn new(table: &'static str) -> Self {
        Pauses { failures: 0, table, outage: Outage::default() }
    }

    /// Notes a call that failed; returns the pause before the next.
    fn failed(&mut self, node: &Node, started: Uptime, error: &StoreError) -> Duration {
        node.metrics.store_call(self.table, false);
        node.knowledge().failing = true;
        self.failures += 1;
        if self.outage.record_failure(started) {
            telemetry::event!(WATCH_LOST, table = self.table, error = error.to_string());
            node.beat.notify_one();
        }
        let longest = node.options.store_pause_most;
        let pause = (node.options.store_pause * self.failures).min(longest);
        // Spread, so that VMs do not come back at once.
        pause.mul_f64(0.75 + (node.random() % 512) as f64 / 1024.0)
    }

    /// Notes an answer; returns the length of the outage that it ends.
    fn worked(&mut self, node: &Node) -> Option<Duration> {
        node.metrics.store_call(self.table, true);
        let outage = self.outage.record_success(node.now());
        if outage.is_some() {
            telemetry::event!(WATCH_BACK, table = self.table, failures = self.failures);
        }
        self.failures = 0;
        node.knowledge().failing = false;
        outage
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
    let mut pauses = Pauses::new("configuration");
    let mut client = node.store();
    loop {
        if wait_for_duty(&node).await {
            after = 0;
            client = node.store();
        }
        let started = node.now();
        let result = if after == 0 {
            client.read_table(Table::Operator).await
        } else {
            client.wait_for_changes(Table::Operator, after, node.options.feed_wait).await
        };
        match result {
            Ok(answer) => {
                pauses.worked(&node);
                after = answer.version.max(1);
                for row in answer.rows.iter().filter(|row| row.is_configuration()) {
                    if let Some(value) = &row.value {
                        learn_configuration(&node, value, "store");
                    }
                }
                confirm(&node, Duration::ZERO, true, false);
            }
            Err(StoreError::HistoryTruncated) => {
                telemetry::event!(WATCH_REREAD, table = pauses.table);
                after = 0;
            }
            Err(error) => {
                let pause = pauses.failed(&node, started, &error);
                client = node.store();
                sleep(pause).await;
            }
        }
    }
}

fn put(listing: &mut Listing, row: StoreRow) {
    if let Some(value) = &row.value
        && let Err(error) = decode_backend(&row.key, value)
    {
        telemetry::event!(ENTRY_UNREADABLE, backend = row.key, error = error.to_string());
    }
    listing.put(row);
}

/// Watches the entries of backend servers while this VM has to.
pub async fn watch_backends(node: Arc<Node>) {
    let mut after = 0;
    let mut pauses = Pauses::new("backends");
    let mut client = node.store();
    let mut listing = Listing::default();
    loop {
        // Until rows in grace have come back or are dropped, this VM answers for them.
        if listing.is_settled() && wait_for_duty(&node).await {
            after = 0;
            client = node.store();
            // Continues from what other VMs have sent.
            let knowledge = node.knowledge();
            listing.resume(knowledge.rows.clone(), knowledge.backends);
        }
        let wait = listing.wait(node.now(), node.options.feed_wait);
        let whole = after == 0;
        let started = node.now();
        let result = if whole {
            client.read_table(Table::Backends).await
        } else {
            client.wait_for_changes(Table::Backends, after, wait).await
        };
        match result {
            Ok(answer) => {
                let now = node.now();
                // A shorter outage lets no entry lapse.
                let lapse = node.boot.load().heartbeat_interval * LAPSE_BEATS;
                if let Some(outage) = pauses.worked(&node).filter(|outage| *outage >= lapse) {
                    listing.store_returned(outage, now, node.options.return_grace);
                }
                let seen = node.state().store_seen;
                after = answer.version.max(1);
                if whole {
                    let listed = answer.rows.iter().map(|row| row.key.clone()).collect();
                    for row in answer.rows {
                        put(&mut listing, row);
                    }
                    listing.keep_only(now, &listed, answer.version);
                } else {
                    for row in answer.rows {
                        match row.value {
                            Some(_) => put(&mut listing, row),
                            None => {
                                listing.drop_row(now, &row.key, row.version.max(answer.version))
                            }
                        }
                    }
                }
                listing.note_seen(now, seen, answer.version);
                listing.expire(now, answer.version);
                let version = listing.version();
                if listing.take_changed() || (whole && node.knowledge().backends != version) {
                    learn_backends(&node, listing.rows().clone(), version, "store");
                }
                confirm(&node, Duration::ZERO, false, true);
            }
            Err(StoreError::HistoryTruncated) => {
                telemetry::event!(WATCH_REREAD, table = pauses.table);
                after = 0;
            }
            Err(error) => {
                let pause = pauses.failed(&node, started, &error);
                client = node.store();
                sleep(pause).await;
            }
        }
    }
}
