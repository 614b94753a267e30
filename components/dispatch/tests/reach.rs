//! How a VM reaches backend servers that it is cut off from.

use std::time::Duration;

use dispatch::Reach;
use kernel::Uptime;

const MS: fn(u64) -> Uptime = Duration::from_millis;

fn cut(at: Uptime) -> Reach {
    Reach { failures: 1, until: at + MS(1500), ..Reach::default() }
}

#[test]
fn a_cut_backend_server_is_lost_until_a_relay_is_found() {
    let mut reach = cut(MS(1000));
    assert!(reach.is_lost(MS(1100)));
    assert!(reach.seek(MS(1100)), "a relay is looked for at once");
    assert!(!reach.seek(MS(1200)), "one search at a time");
    reach.relay = Some(7);
    assert!(!reach.is_lost(MS(1300)));
    assert!(!reach.seek(MS(9000)));
}

#[test]
fn a_search_without_result_is_repeated() {
    let mut reach = cut(MS(1000));
    assert!(reach.seek(MS(1100)));
    assert!(reach.seek(MS(2700)));
}

#[test]
fn the_direct_way_is_checked_again_from_time_to_time() {
    let mut reach = Reach { relay: Some(7), ..cut(MS(1000)) };
    assert!(!reach.recheck(MS(2000)));
    assert!(reach.recheck(MS(2600)));
    assert!(!reach.recheck(MS(2700)), "one check at a time");
    assert!(reach.recheck(MS(4200)));
}

#[test]
fn a_reachable_backend_server_needs_no_relay() {
    assert!(!Reach::default().seek(MS(5000)));
    assert!(!Reach::default().recheck(MS(5000)));
}
