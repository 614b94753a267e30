//! A model in virtual time of how a configuration reaches the VMs of a failure domain. The first VM
//! that has it has a slow link, and the others pull from it and from each other.

use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{Announcement, DataVersions, PullDecision, PullFailure, PullSources};

/// Step of the model.
const STEP: Duration = Duration::from_millis(1);
/// Bytes that a link of 10 Mbit/s carries in a step.
const SLOW_LINK: f64 = 10e6 / 8.0 / 1000.0;
/// Bytes that a link of 200 Mbit/s carries in a step.
const FAST_LINK: f64 = 200e6 / 8.0 / 1000.0;
/// Heartbeat interval of a standby.
const HEARTBEAT: Duration = Duration::from_millis(1000);
/// Time within which a configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2500);
/// Time after which a pull without progress fails.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Configuration of 1,400 routes as the store has it, and one such configuration compressed.
const TEXT_BYTES: f64 = 170_000.0;
const WHOLE_BYTES: f64 = 30_000.0;
/// A changed route, with the rest of the reply.
const PATCH_BYTES: f64 = 1500.0;

const OLD: DataVersions = DataVersions { config: 4, backends: 1 };
const NEW: DataVersions = DataVersions { config: 7, backends: 1 };

/// How VMs pull.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// From the VM whose heartbeat arrives first, all VMs at once; a pull fails as a whole after its
    /// timeout.
    AllAtOnce,
    /// By [`PullSources`], from sources that serve so many VMs at a time.
    Sources(usize),
}

struct Transfer {
    source: usize,
    started: Duration,
    left: f64,
}

struct Vm {
    versions: DataVersions,
    sources: PullSources,
    transfer: Option<Transfer>,
    next_heartbeat: Duration,
}

struct Outcome {
    /// When the last VM had the configuration; none if one did not in 20 s.
    last: Option<Duration>,
    bytes: f64,
    failed: usize,
}

fn spread(count: usize, link: f64, size: f64, policy: Policy) -> Outcome {
    let new_vm = |vm: usize| Vm {
        versions: if vm == 0 { NEW } else { OLD },
        sources: PullSources::default(),
        transfer: None,
        next_heartbeat: if vm == 0 { Duration::ZERO } else { HEARTBEAT },
    };
    let mut vms: Vec<Vm> = (0..count).map(new_vm).collect();
    let mut outcome = Outcome { last: None, bytes: 0.0, failed: 0 };
    let mut random = 1_u64;
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(20) {
        now += STEP;
        for sender in 0..count {
            if vms[sender].next_heartbeat > now || vms[sender].versions != NEW {
                continue;
            }
            vms[sender].next_heartbeat = now + HEARTBEAT;
            let address = SocketAddr::from(([127, 0, 0, 1], sender as u16));
            let announcement =
                Announcement { vm: sender as u64, address, versions: NEW, is_remote: false };
            for vm in vms.iter_mut().filter(|vm| vm.versions == OLD) {
                vm.sources.record(now, announcement);
                if policy == Policy::AllAtOnce && vm.transfer.is_none() {
                    vm.transfer = Some(Transfer { source: sender, started: now, left: size });
                }
            }
        }
        let mut active = vec![0; count];
        vms.iter().filter_map(|vm| vm.transfer.as_ref()).for_each(|t| active[t.source] += 1);
        for vm in vms.iter_mut().skip(1) {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            if let Some(transfer) = &mut vm.transfer {
                let bytes = link / f64::from(active[transfer.source]);
                transfer.left -= bytes;
                outcome.bytes += bytes;
                if transfer.left <= 0.0 {
                    vm.versions = NEW;
                    vm.next_heartbeat = now;
                    vm.transfer = None;
                } else if policy == Policy::AllAtOnce && now - transfer.started > STALL_TIMEOUT {
                    vm.transfer = None;
                    outcome.failed += 1;
                }
            } else if let Policy::Sources(limit) = policy
                && vm.versions == OLD
                && let PullDecision::Pull(source) = vm.sources.decide(now, OLD, random >> 33)
            {
                let source_index = source.vm as usize;
                if active[source_index] < limit as u32 {
                    active[source_index] += 1;
                    vm.transfer = Some(Transfer { source: source_index, started: now, left: size });
                } else {
                    vm.sources.pause(now, source.vm, PullFailure::Busy, random >> 40);
                }
            }
        }
        if vms.iter().all(|vm| vm.versions == NEW) {
            outcome.last = Some(now);
            break;
        }
    }
    outcome
}

// Guards against CONFIG on a grown site: 27 VMs pulled the whole configuration at once from one with
// a link of 10 Mbit/s, all of them timed out, and nothing of a round was kept.
#[test]
fn pulls_that_give_up_together_never_end_and_patches_do_not_need_to() {
    let before = spread(28, SLOW_LINK, TEXT_BYTES, Policy::AllAtOnce);
    assert!(before.last.is_none(), "{:?}", before.last);
    assert!(before.failed >= 27, "{}", before.failed);
    let after = spread(28, SLOW_LINK, PATCH_BYTES, Policy::Sources(usize::MAX));
    assert!(after.last.is_some_and(|last| last <= APPLY_LIMIT / 10), "{:?}", after.last);
    assert!(after.bytes <= 28.0 * 2.0 * PATCH_BYTES, "{} bytes", after.bytes);
}

#[test]
fn changed_route_is_in_force_in_time_in_domains_of_any_size() {
    for (count, link) in [(3, SLOW_LINK), (28, SLOW_LINK), (60, SLOW_LINK), (480, SLOW_LINK)] {
        let outcome = spread(count, link, PATCH_BYTES, Policy::Sources(usize::MAX));
        assert!(
            outcome.last.is_some_and(|last| last <= APPLY_LIMIT),
            "{count} VMs: {:?}",
            outcome.last
        );
    }
}

#[test]
fn whole_configuration_spreads_through_those_that_have_it() {
    for (count, link) in [(3, SLOW_LINK), (28, SLOW_LINK), (60, SLOW_LINK), (480, SLOW_LINK)] {
        let outcome = spread(count, link, WHOLE_BYTES, Policy::Sources(4));
        assert!(
            outcome.last.is_some_and(|last| last <= APPLY_LIMIT),
            "{count} VMs: {:?}",
            outcome.last
        );
    }
    let fast = spread(480, FAST_LINK, WHOLE_BYTES, Policy::Sources(4));
    let last = fast.last.unwrap_or(Duration::MAX);
    assert!(last <= APPLY_LIMIT, "{last:?}");
}
