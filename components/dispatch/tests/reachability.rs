//! How a VM reaches backend servers that it is cut off from.

use std::time::Duration;

use dispatch::Reachability;
use kernel::Uptime;

const MS: fn(u64) -> Uptime = Duration::from_millis;

fn cut(at: Uptime) -> Reachability {
    Reachability { failures: 1, backoff_until: at + MS(1500), ..Reachability::default() }
}

#[test]
fn a_cut_backend_server_is_lost_until_a_relay_is_found() {
    let mut reach = cut(MS(1000));
    assert!(reach.is_unreachable(MS(1100)));
    assert!(reach.start_search(MS(1100)), "a relay is looked for at once");
    assert!(!reach.start_search(MS(1200)), "one search at a time");
    reach.relay = Some(7);
    assert!(!reach.is_unreachable(MS(1300)));
    assert!(!reach.start_search(MS(9000)));
}

#[test]
fn a_search_without_result_is_repeated() {
    let mut reach = cut(MS(1000));
    assert!(reach.start_search(MS(1100)));
    assert!(reach.start_search(MS(2700)));
}

#[test]
fn the_direct_way_is_checked_again_from_time_to_time() {
    let mut reach = Reachability { relay: Some(7), ..cut(MS(1000)) };
    assert!(!reach.start_recheck(MS(2000)));
    assert!(reach.start_recheck(MS(2600)));
    assert!(!reach.start_recheck(MS(2700)), "one check at a time");
    assert!(reach.start_recheck(MS(4200)));
}

#[test]
fn a_reachable_backend_server_needs_no_relay() {
    assert!(!Reachability::default().start_search(MS(5000)));
    assert!(!Reachability::default().start_recheck(MS(5000)));
}
