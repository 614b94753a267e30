//! Who watches the store: few VMs while all is well, every VM that is cut off from the others.

use std::time::Duration;

use dispatch::{Outage, Watcher};

fn standby(place: u32) -> Watcher {
    Watcher {
        home: false,
        place,
        uptime: Duration::from_secs(60),
        announced: Some(Duration::from_secs(59)),
        informed: true,
        age: Duration::from_millis(900),
        silence: Some(Duration::from_millis(150)),
        failing: false,
    }
}

#[test]
fn a_calm_standby_leaves_the_store_alone() {
    assert!(!standby(0).has_duty());
    assert!(Watcher { home: true, ..standby(0) }.has_duty());
}

// A cut VM far down the line watched only after seconds and served a withdrawn key.
#[test]
fn a_vm_that_hears_no_home_watches_whatever_its_place() {
    let cut = Watcher { silence: Some(Duration::from_millis(1200)), ..standby(9) };
    assert!(cut.has_duty());
    let never = Watcher { silence: None, ..standby(9) };
    assert!(never.has_duty());
}

#[test]
fn the_first_standby_steps_in_at_once_when_the_home_is_refused() {
    let age = Duration::from_millis(500);
    assert!(Watcher { failing: true, age, ..standby(0) }.has_duty());
    assert!(!Watcher { failing: true, age, ..standby(1) }.has_duty());
    assert!(!Watcher { failing: false, age, ..standby(0) }.has_duty());
}

#[test]
fn a_starting_vm_first_listens_to_the_others() {
    let start = |place, millis| {
        let age = Duration::from_millis(millis);
        let announced = Some(age);
        Watcher { informed: false, uptime: age, announced, silence: None, ..standby(place) }
    };
    assert!(!start(0, 50).has_duty());
    assert!(start(0, 100).has_duty());
    assert!(!start(1, 300).has_duty());
    assert!(start(1, 400).has_duty());
}

// 51 VMs of a region that started together read a large configuration at once, filled the link
// between regions, and repeated the reading after each timeout for 8 s.
#[test]
fn a_vm_that_has_not_met_the_others_does_not_read_the_store_at_once() {
    let uptime = Duration::from_millis(300);
    let alone = Watcher { informed: false, uptime, announced: None, silence: None, ..standby(0) };
    assert!(!alone.has_duty());
    assert!(Watcher { uptime: Duration::from_millis(900), ..alone }.has_duty());
}

// A VM that had not watched for 20 s took the first failure for an outage of 20 s, kept backend
// servers that had left in use, and told others of them.
#[test]
fn an_outage_starts_with_the_first_call_that_failed() {
    let at = Duration::from_millis;
    let mut outage = Outage::default();
    assert_eq!(outage.ended(at(5_000)), None);
    assert!(outage.failed(at(25_000)));
    assert!(!outage.failed(at(25_900)));
    assert_eq!(outage.ended(at(26_000)), Some(at(1_000)));
    assert_eq!(outage.ended(at(27_000)), None);
}
