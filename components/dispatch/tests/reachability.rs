//! How a VM uses backend servers that it cannot connect to directly.

use std::time::Duration;

use dispatch::Reachability;
use kernel::Uptime;

const MS: fn(u64) -> Uptime = Duration::from_millis;

fn unreachable(at: Uptime) -> Reachability {
    Reachability { failures: 1, backoff_until: at + MS(1500), ..Reachability::default() }
}

#[test]
fn backend_server_is_unreachable_until_a_relay_is_found() {
    let mut state = unreachable(MS(1000));
    assert!(state.is_unreachable(MS(1100)));
    assert!(state.start_search(MS(1100)), "the first search starts at once");
    assert!(!state.start_search(MS(1200)), "one search at a time");
    state.relay = Some(7);
    assert!(!state.is_unreachable(MS(1300)));
    assert!(!state.start_search(MS(9000)));
}

#[test]
fn search_without_result_is_repeated() {
    let mut state = unreachable(MS(1000));
    assert!(state.start_search(MS(1100)));
    assert!(state.start_search(MS(2700)));
}

#[test]
fn direct_connection_is_rechecked_periodically() {
    let mut state = Reachability { relay: Some(7), ..unreachable(MS(1000)) };
    assert!(!state.start_recheck(MS(2000)));
    assert!(state.start_recheck(MS(2600)));
    assert!(!state.start_recheck(MS(2700)), "one check at a time");
    assert!(state.start_recheck(MS(4200)));
}

#[test]
fn reachable_backend_server_needs_no_relay() {
    assert!(!Reachability::default().start_search(MS(5000)));
    assert!(!Reachability::default().start_recheck(MS(5000)));
}
