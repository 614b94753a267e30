//! Who watches the store: few VMs while all is well, every VM that is cut off from the others.

use std::time::Duration;

use dispatch::{Outage, StoreWatch};

fn standby(rank: u32) -> StoreWatch {
    StoreWatch {
        is_leader: false,
        rank,
        uptime: Duration::from_secs(60),
        since_announced: Some(Duration::from_secs(59)),
        initialized: true,
        staleness: Duration::from_millis(900),
        leader_silence: Some(Duration::from_millis(150)),
        leader_failing: false,
    }
}

#[test]
fn a_calm_standby_leaves_the_store_alone() {
    assert!(!standby(0).should_watch());
    assert!(StoreWatch { is_leader: true, ..standby(0) }.should_watch());
}

// A cut VM far down the line watched only after seconds and served a withdrawn key.
#[test]
fn a_vm_that_hears_no_home_watches_whatever_its_place() {
    let cut = StoreWatch { leader_silence: Some(Duration::from_millis(1200)), ..standby(9) };
    assert!(cut.should_watch());
    let never = StoreWatch { leader_silence: None, ..standby(9) };
    assert!(never.should_watch());
}

#[test]
fn the_first_standby_steps_in_at_once_when_the_home_is_refused() {
    let staleness = Duration::from_millis(500);
    assert!(StoreWatch { leader_failing: true, staleness, ..standby(0) }.should_watch());
    assert!(!StoreWatch { leader_failing: true, staleness, ..standby(1) }.should_watch());
    assert!(!StoreWatch { leader_failing: false, staleness, ..standby(0) }.should_watch());
}

#[test]
fn a_starting_vm_first_listens_to_the_others() {
    let start = |rank, millis| {
        let age = Duration::from_millis(millis);
        let since_announced = Some(age);
        StoreWatch {
            initialized: false,
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

// 51 VMs of a region that started together read a large configuration at once, filled the link
// between regions, and repeated the reading after each timeout for 8 s.
#[test]
fn a_vm_that_has_not_met_the_others_does_not_read_the_store_at_once() {
    let uptime = Duration::from_millis(300);
    let alone = StoreWatch {
        initialized: false,
        uptime,
        since_announced: None,
        leader_silence: None,
        ..standby(0)
    };
    assert!(!alone.should_watch());
    assert!(StoreWatch { uptime: Duration::from_millis(900), ..alone }.should_watch());
}

// A VM that had not watched for 20 s took the first failure for an outage of 20 s, kept backend
// servers that had left in use, and told others of them.
#[test]
fn an_outage_starts_with_the_first_call_that_failed() {
    let at = Duration::from_millis;
    let mut outage = Outage::default();
    assert_eq!(outage.record_success(at(5_000)), None);
    assert!(outage.record_failure(at(25_000)));
    assert!(!outage.record_failure(at(25_900)));
    assert_eq!(outage.record_success(at(26_000)), Some(at(1_000)));
    assert_eq!(outage.record_success(at(27_000)), None);
}
