//! Which VMs watch the store: few in normal operation, and every VM that is cut off from the
//! others.

use std::time::Duration;

use dispatch::{Outage, WatchConditions, may_start_serving};

fn standby(rank: u32) -> WatchConditions {
    WatchConditions {
        is_leader: false,
        rank,
        uptime: Duration::from_secs(60),
        since_announced: Some(Duration::from_secs(59)),
        synced: true,
        unconfirmed: false,
        staleness: Duration::from_millis(900),
        leader_silence: Some(Duration::from_millis(150)),
        leader_failing: false,
    }
}

#[test]
fn standby_does_not_watch_in_normal_operation() {
    assert!(!standby(0).should_watch());
    assert!(WatchConditions { is_leader: true, ..standby(0) }.should_watch());
}

// Guards against stale data on a VM that is cut off: one of low rank waited for seconds before it
// watched, and accepted a withdrawn key.
#[test]
fn vm_without_leader_heartbeats_watches_whatever_its_rank() {
    let cut = WatchConditions { leader_silence: Some(Duration::from_millis(1200)), ..standby(9) };
    assert!(cut.should_watch());
    let never = WatchConditions { leader_silence: None, ..standby(9) };
    assert!(never.should_watch());
}

#[test]
fn first_standby_watches_early_when_the_leaders_calls_fail() {
    let staleness = Duration::from_millis(500);
    assert!(WatchConditions { leader_failing: true, staleness, ..standby(0) }.should_watch());
    assert!(!WatchConditions { leader_failing: true, staleness, ..standby(1) }.should_watch());
    assert!(!WatchConditions { leader_failing: false, staleness, ..standby(0) }.should_watch());
}

#[test]
fn starting_vm_waits_for_the_data_of_other_vms_first() {
    let start = |rank, millis| {
        let age = Duration::from_millis(millis);
        let since_announced = Some(age);
        WatchConditions {
            synced: false,
            uptime: age,
            since_announced,
            leader_silence: None,
            ..standby(rank)
        }
    };
    assert!(!start(0, 50).should_watch());
    assert!(start(0, 100).should_watch());
    assert!(!start(1, 300).should_watch());
    assert!(start(1, 400).should_watch());
}

// Guards against many VMs that read the store at once: 51 VMs of a region that started together
// read a large configuration, saturated the link between regions, and read again after each timeout
// for 8 s.
#[test]
fn unannounced_vm_does_not_read_the_store_at_once() {
    let uptime = Duration::from_millis(300);
    let alone = WatchConditions {
        synced: false,
        uptime,
        since_announced: None,
        leader_silence: None,
        ..standby(0)
    };
    assert!(!alone.should_watch());
    assert!(WatchConditions { uptime: Duration::from_millis(900), ..alone }.should_watch());
}

// Guards against an outage counted from the last response: a VM that had not watched for 20 s took
// the first failure for an outage of 20 s, kept using backend servers that had left, and reported
// them to other VMs.
#[test]
fn outage_starts_with_the_first_failed_call() {
    let at = Duration::from_millis;
    let mut outage = Outage::default();
    assert_eq!(outage.record_success(at(5_000)), None);
    assert!(outage.record_failure(at(25_000)));
    assert!(!outage.record_failure(at(25_900)));
    assert_eq!(outage.record_success(at(26_000)), Some(at(1_000)));
    assert_eq!(outage.record_success(at(27_000)), None);
}

// Guards against a VM that starts with the data of one that is cut off from the store, and accepts
// a key that was withdrawn meanwhile.
#[test]
fn starting_vm_does_not_serve_with_stale_data_unless_the_store_is_out_of_its_reach() {
    let (fresh, stale) = (Duration::from_millis(1500), Duration::from_secs(8));
    assert!(may_start_serving(fresh, false, Duration::ZERO));
    assert!(!may_start_serving(stale, false, Duration::from_millis(300)));
    assert!(may_start_serving(stale, true, Duration::from_millis(300)));
    assert!(may_start_serving(stale, false, Duration::from_secs(2)));
    assert!(WatchConditions { unconfirmed: true, ..standby(17) }.should_watch());
}
