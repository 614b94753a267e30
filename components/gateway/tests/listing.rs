//! Rows of backend servers over outages of the store.

use std::collections::BTreeSet;
use std::time::Duration;

use adapter::StoreRow;
use gateway::Listing;
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
fn a_heartbeat_is_no_change() {
    let mut listing = Listing::default();
    listing.put(row("i-1", "ready", 5));
    listing.put(row("i-1", "ready", 9));
    assert_eq!(listing.version(), 11);
    listing.put(row("i-1", "draining", 12));
    assert_eq!(listing.version(), 25);
}

#[test]
fn a_row_that_is_missing_after_an_outage_stays_for_the_grace() {
    let mut listing = Listing::default();
    listing.put(row("i-1", "ready", 5));
    listing.store_returned(at(900), at(1000), GRACE);
    listing.keep_only(at(1000), &BTreeSet::new(), 20);
    assert!(listing.rows().contains_key("i-1"));
    listing.expire(at(1000) + GRACE, 25);
    assert!(!listing.rows().contains_key("i-1"));
    assert_eq!(listing.version(), 51);
}

#[test]
fn a_row_that_comes_back_in_the_grace_stays() {
    let mut listing = Listing::default();
    listing.put(row("i-1", "ready", 5));
    listing.store_returned(at(900), at(1000), GRACE);
    listing.drop_row(at(1200), "i-1", 20);
    listing.put(row("i-1", "ready", 22));
    listing.expire(at(9000), 30);
    assert!(listing.rows().contains_key("i-1"));
}

#[test]
fn a_row_that_leaves_in_calm_times_goes_at_once() {
    let mut listing = Listing::default();
    listing.put(row("i-1", "ready", 5));
    listing.drop_row(at(1000), "i-1", 20);
    assert!(listing.rows().is_empty());
    assert_eq!(listing.version(), 41);
}

// The end of the grace raised no version, so that a list with the newest version kept the row for
// 13 s, on the VM that watched and on those that had asked it.
#[test]
fn a_list_with_rows_in_grace_is_not_settled() {
    let mut listing = Listing::default();
    listing.put(row("i-1", "ready", 5));
    listing.put(row("i-2", "ready", 6));
    listing.store_returned(at(900), at(1000), GRACE);
    listing.drop_row(at(1100), "i-1", 20);
    listing.put(row("i-2", "draining", 21));
    assert!(!listing.is_settled());
    assert_eq!(listing.version(), 42);
    assert!(listing.take_changed());
    // No write has raised the store's version since.
    listing.expire(at(1000) + GRACE, 21);
    assert!(listing.is_settled() && listing.take_changed());
    assert_eq!(listing.version(), 43);
}

// A home that had been cut off took its own cut for an outage of the store, and put a backend
// server that had left back into use on every VM of its failure domain.
#[test]
fn a_grace_ends_when_the_store_has_answered_others_meanwhile() {
    let mut listing = Listing::default();
    listing.put(row("i-1", "ready", 5));
    listing.store_returned(at(8000), at(20_000), GRACE);
    listing.drop_row(at(20_000), "i-1", 20);
    // Before the outage, and after it: nothing is known of the time between.
    for seen in [None, Some(at(11_000)), Some(at(20_050))] {
        listing.note_seen(at(20_100), seen, 21);
        assert!(!listing.is_settled());
    }
    listing.note_seen(at(20_200), Some(at(17_000)), 21);
    assert!(listing.is_settled() && listing.rows().is_empty());
}
