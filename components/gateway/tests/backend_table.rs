//! The table of backend servers during and after outages of the store.

use std::collections::BTreeSet;
use std::time::Duration;

use adapter::StoreRow;
use gateway::BackendTable;
use standins::wire::backend_entry;

const GRACE: Duration = Duration::from_millis(2300);

fn row(key: &str, state: &str, version: u64) -> StoreRow {
    let address = ([10, 0, 0, 1], 80).into();
    let value = backend_entry("s", address, "a", state, version).to_string();
    StoreRow { key: key.into(), value: Some(value.into_bytes()), version }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn backend_heartbeat_does_not_change_the_version() {
    let mut table = BackendTable::default();
    table.put(row("i-1", "ready", 5));
    table.put(row("i-1", "ready", 9));
    assert_eq!(table.version(), 11);
    table.put(row("i-1", "draining", 12));
    assert_eq!(table.version(), 25);
}

#[test]
fn row_missing_after_an_outage_is_kept_for_the_grace_period() {
    let mut table = BackendTable::default();
    table.put(row("i-1", "ready", 5));
    table.start_grace(at(900), at(1000), GRACE);
    table.retain_listed(at(1000), &BTreeSet::new(), 20);
    assert!(table.rows().contains_key("i-1"));
    table.expire(at(1000) + GRACE, 25);
    assert!(!table.rows().contains_key("i-1"));
    assert_eq!(table.version(), 51);
}

#[test]
fn row_that_returns_in_the_grace_period_is_kept() {
    let mut table = BackendTable::default();
    table.put(row("i-1", "ready", 5));
    table.start_grace(at(900), at(1000), GRACE);
    table.remove(at(1200), "i-1", 20);
    table.put(row("i-1", "ready", 22));
    table.expire(at(9000), 30);
    assert!(table.rows().contains_key("i-1"));
}

#[test]
fn row_removed_without_an_outage_goes_at_once() {
    let mut table = BackendTable::default();
    table.put(row("i-1", "ready", 5));
    table.remove(at(1000), "i-1", 20);
    assert!(table.rows().is_empty());
    assert_eq!(table.version(), 41);
}

// Guards against a version that stays the same when the grace period ends: VMs that held the newest
// version then kept the removed row for 13 s, on the watching VM and on those that pulled from it.
#[test]
fn end_of_the_grace_period_raises_the_version() {
    let mut table = BackendTable::default();
    table.put(row("i-1", "ready", 5));
    table.put(row("i-2", "ready", 6));
    table.start_grace(at(900), at(1000), GRACE);
    table.remove(at(1100), "i-1", 20);
    table.put(row("i-2", "draining", 21));
    assert!(!table.is_settled());
    assert_eq!(table.version(), 42);
    assert!(table.take_changed());
    // No write has raised the store's version in the meantime.
    table.expire(at(1000) + GRACE, 21);
    assert!(table.is_settled() && table.take_changed());
    assert_eq!(table.version(), 43);
}

// Guards against taking a cut link for an outage of the store: a leader that was cut off put a
// backend server that had left back into use on every VM of its failure domain.
#[test]
fn grace_period_ends_if_the_store_responded_to_other_vms_in_the_outage() {
    let mut table = BackendTable::default();
    table.put(row("i-1", "ready", 5));
    table.start_grace(at(8000), at(20_000), GRACE);
    table.remove(at(20_000), "i-1", 20);
    // Responses before or after the outage prove nothing about the time between.
    for responded_at in [None, Some(at(11_000)), Some(at(20_050))] {
        table.end_grace_if_store_responded(at(20_100), responded_at, 21);
        assert!(!table.is_settled());
    }
    table.end_grace_if_store_responded(at(20_200), Some(at(17_000)), 21);
    assert!(table.is_settled() && table.rows().is_empty());
}
