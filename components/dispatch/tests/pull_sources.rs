//! From which VM newer data is pulled, and when another one is asked.

use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{Announcement, DataVersions, PullDecision, PullFailure, PullSources};

const HELD: DataVersions = DataVersions { config: 4, backends: 10 };
const NEWER: DataVersions = DataVersions { config: 7, backends: 12 };

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn announce(sources: &mut PullSources, millis: u64, vm: u64, versions: DataVersions) -> bool {
    let address = SocketAddr::from(([127, 0, 0, 1], vm as u16));
    let announcement = Announcement { vm, address, versions, is_remote: false };
    sources.record(at(millis), announcement)
}

fn announce_remote(sources: &mut PullSources, millis: u64, vm: u64, versions: DataVersions) {
    let address = SocketAddr::from(([127, 0, 0, 1], vm as u16));
    let announcement = Announcement { vm, address, versions, is_remote: true };
    sources.record(at(millis), announcement);
}

fn chosen(sources: &mut PullSources, millis: u64, held: DataVersions, random: u64) -> Option<u64> {
    match sources.decide(at(millis), held, random) {
        PullDecision::Pull(source) => Some(source.vm),
        _ => None,
    }
}

#[test]
fn vm_with_the_newest_data_is_asked() {
    let mut sources = PullSources::default();
    assert_eq!(sources.decide(at(0), HELD, 0), PullDecision::UpToDate);
    announce(&mut sources, 0, 1, HELD);
    assert_eq!(sources.decide(at(0), HELD, 0), PullDecision::UpToDate);
    announce(&mut sources, 0, 2, DataVersions { backends: 11, ..HELD });
    assert_eq!(chosen(&mut sources, 0, HELD, 0), Some(2));
    assert!(announce(&mut sources, 0, 3, NEWER));
    assert!(!announce(&mut sources, 0, 4, NEWER), "VM 3 has announced this version before");
    let mut asked: Vec<u64> = (0..8).filter_map(|n| chosen(&mut sources, 0, HELD, n)).collect();
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked, [3, 4], "equal sources share the work");
    assert_eq!(sources.decide(at(0), NEWER, 0), PullDecision::UpToDate);
}

// Guards against a VM that stays on an old configuration although many VMs have the new one: after
// each failed pull it waited for the next heartbeat, and forgot those that had come meanwhile.
#[test]
fn failed_pull_is_followed_at_once_by_one_from_another_vm() {
    let mut sources = PullSources::default();
    announce(&mut sources, 0, 1, NEWER);
    assert_eq!(chosen(&mut sources, 0, HELD, 0), Some(1));
    announce(&mut sources, 200, 2, NEWER);
    sources.pause(at(1500), 1, PullFailure::Failed, 0);
    assert_eq!(chosen(&mut sources, 1500, HELD, 0), Some(2));
    sources.pause(at(1600), 2, PullFailure::Busy, 0);
    assert_eq!(sources.decide(at(1600), HELD, 0), PullDecision::Wait(at(1700)));
    assert_eq!(chosen(&mut sources, 1700, HELD, 0), Some(2));
    sources.pause(at(1800), 2, PullFailure::Failed, 0);
    assert_eq!(sources.decide(at(1800), HELD, 0), PullDecision::Wait(at(3000)));
}

#[test]
fn pause_outlasts_heartbeats_of_the_source() {
    let mut sources = PullSources::default();
    announce(&mut sources, 0, 1, NEWER);
    sources.pause(at(0), 1, PullFailure::Failed, 0);
    announce(&mut sources, 200, 1, NEWER);
    assert_eq!(sources.decide(at(200), HELD, 0), PullDecision::Wait(at(1500)));
}

#[test]
fn vm_that_is_gone_is_not_asked() {
    let mut sources = PullSources::default();
    announce(&mut sources, 0, 1, NEWER);
    announce(&mut sources, 3000, 2, NEWER);
    sources.remove(2);
    assert_eq!(chosen(&mut sources, 3400, HELD, 0), Some(1));
    assert_eq!(sources.decide(at(3600), HELD, 0), PullDecision::UpToDate);
}

// Guards against a failure domain that keeps an old configuration because the store refuses all of
// its VMs, and against pulls between regions of what the store delivers anyway.
#[test]
fn other_failure_domain_is_asked_once_the_own_one_is_late() {
    let mut sources = PullSources::default();
    announce_remote(&mut sources, 0, 1, DataVersions { backends: 12, ..HELD });
    assert_eq!(sources.decide(at(0), HELD, 0), PullDecision::UpToDate);
    announce_remote(&mut sources, 100, 1, NEWER);
    assert_eq!(sources.decide(at(100), HELD, 0), PullDecision::Wait(at(400)));
    assert_eq!(chosen(&mut sources, 400, HELD, 0), Some(1));
    announce(&mut sources, 400, 2, DataVersions { backends: 11, ..HELD });
    assert_eq!(chosen(&mut sources, 400, HELD, 0), Some(2), "the own failure domain goes first");

    assert_eq!(sources.decide(at(500), NEWER, 0), PullDecision::UpToDate);
    let next = DataVersions { config: 9, ..NEWER };
    announce_remote(&mut sources, 600, 1, next);
    assert_eq!(sources.decide(at(600), NEWER, 0), PullDecision::Wait(at(900)));
}

#[test]
fn vm_without_a_configuration_takes_it_from_anywhere() {
    let mut sources = PullSources::default();
    announce_remote(&mut sources, 0, 1, NEWER);
    assert_eq!(chosen(&mut sources, 0, DataVersions::default(), 0), Some(1));
}
