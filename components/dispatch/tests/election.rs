//! Which VM leads a failure domain while VMs are lost, stop or freeze.

use std::time::Duration;

use dispatch::{Election, Role};
use kernel::Uptime;

const TICK: Duration = Duration::from_millis(50);

struct Fleet {
    vms: Vec<Election>,
    now: Uptime,
    down: Vec<usize>,
}

impl Fleet {
    fn new(count: u64) -> Fleet {
        let now = Duration::from_secs(60);
        let vm = |n| {
            let mut election = Election::new(Uptime::ZERO, n + 1, 0.2);
            election.set_eligible(true);
            election
        };
        Fleet { vms: (0..count).map(vm).collect(), now, down: Vec::new() }
    }

    fn run(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now += TICK;
            for vm in 0..self.vms.len() {
                if !self.down.contains(&vm) {
                    self.vms[vm].poll(self.now);
                }
            }
            for from in 0..self.vms.len() {
                if self.down.contains(&from) {
                    continue;
                }
                let heartbeat = self.vms[from].heartbeat(self.now);
                for to in 0..self.vms.len() {
                    if to != from && !self.down.contains(&to) {
                        self.vms[to].receive(self.now, heartbeat);
                    }
                }
            }
        }
    }

    fn leaders(&mut self) -> Vec<usize> {
        let now = self.now;
        let live = (0..self.vms.len()).filter(|vm| !self.down.contains(vm)).collect::<Vec<_>>();
        live.into_iter().filter(|vm| self.vms[*vm].poll(now) == Role::Leader).collect()
    }
}

#[test]
fn vms_that_start_together_agree_on_one_leader() {
    let mut fleet = Fleet::new(12);
    fleet.run(600);
    assert_eq!(fleet.leaders().len(), 1);
}

#[test]
fn lost_leader_is_replaced_within_a_second_and_stays_replaced() {
    let mut fleet = Fleet::new(12);
    fleet.run(600);
    let lost = fleet.leaders()[0];
    fleet.down.push(lost);
    fleet.run(1000);
    let leaders = fleet.leaders();
    assert_eq!(leaders.len(), 1);
    fleet.down.clear();
    fleet.run(400);
    assert_eq!(fleet.leaders(), leaders, "a former leader that returns steps down");
}

#[test]
fn stopping_leader_is_replaced_at_once() {
    let mut fleet = Fleet::new(4);
    fleet.run(600);
    let leader = fleet.leaders()[0];
    fleet.vms[leader].set_eligible(false);
    let (now, vm) = (fleet.now, leader as u64 + 1);
    for other in (0..4).filter(|other| *other != leader) {
        fleet.vms[other].remove_vm(now, vm);
    }
    fleet.run(600);
    let leaders = fleet.leaders();
    assert_eq!(leaders.len(), 1);
    assert_ne!(leaders[0], leader);
}

#[test]
fn ineligible_vm_never_becomes_leader() {
    let mut fleet = Fleet::new(3);
    fleet.vms[2].set_eligible(false);
    fleet.run(600);
    for _ in 0..2 {
        let leader = fleet.leaders()[0];
        fleet.down.push(leader);
        fleet.run(1500);
    }
    fleet.run(3000);
    assert!(fleet.leaders().is_empty());
}

#[test]
fn largest_vm_reads_the_store_first_when_none_has_data() {
    // Incarnations are random: here one of the smallest VMs has the highest.
    let capacities = [0.5, 0.1, 0.1, 0.5, 0.1];
    let vm = |(n, capacity)| Election::new(Uptime::ZERO, n + 1, capacity);
    let mut vms: Vec<Election> = (0_u64..).zip(capacities).map(vm).collect();
    let now = Duration::from_millis(40);
    let heartbeats: Vec<_> = vms.iter().map(|vm| vm.heartbeat(now)).collect();
    for vm in &mut vms {
        heartbeats.iter().for_each(|heartbeat| vm.receive(now, *heartbeat));
    }
    let ranks: Vec<u32> = vms.iter().map(|vm| vm.store_read_rank(now)).collect();
    assert_eq!(ranks, [1, 4, 3, 0, 2]);
}

// Guards against several claims at a start: a VM gets the configuration from the first VM that has
// it, before that one claims to be leader. The time without a leader was counted from the start of
// the process, so that each such VM claimed at once.
#[test]
fn vms_that_get_the_configuration_from_another_let_it_claim_first() {
    let mut first = Election::new(Uptime::ZERO, 1, 0.5);
    let mut second = Election::new(Uptime::ZERO, 2, 0.1);
    let ms = Duration::from_millis;
    first.set_eligible(true);
    second.receive(ms(600), first.heartbeat(ms(600)));
    second.set_eligible(true);
    assert_eq!(second.poll(ms(640)), Role::Standby);
    assert_eq!(first.poll(ms(650)), Role::Leader);
    second.receive(ms(651), first.heartbeat(ms(651)));
    assert_eq!(second.poll(ms(900)), Role::Standby);
}

#[test]
fn larger_vm_wins_of_two_claims_of_one_term() {
    let mut large = Election::new(Uptime::ZERO, 1, 0.5);
    let mut small = Election::new(Uptime::ZERO, 2, 0.1);
    let ms = Duration::from_millis;
    for vm in [&mut large, &mut small] {
        vm.set_eligible(true);
        assert_eq!(vm.poll(ms(600)), Role::Leader);
    }
    let (from_large, from_small) = (large.heartbeat(ms(610)), small.heartbeat(ms(610)));
    large.receive(ms(611), from_small);
    small.receive(ms(611), from_large);
    assert_eq!(large.poll(ms(650)), Role::Leader);
    assert_eq!(small.poll(ms(650)), Role::Standby);
}

// Guards against a failure domain without a reader of the store: the store refused the leader and the
// best standbys, and each of the others waited 0.4 s longer for all of them.
#[test]
fn standby_passes_over_vms_whose_calls_to_the_store_fail() {
    let mut fleet = Fleet::new(12);
    fleet.run(600);
    let now = fleet.now;
    let leader = fleet.leaders()[0];
    let rank = |vm: usize, failing: &[u64]| {
        fleet.vms[vm].watch_rank(now, |other| failing.contains(&other))
    };
    let mut standbys: Vec<usize> = (0..12).filter(|vm| *vm != leader).collect();
    standbys.sort_by_key(|vm| rank(*vm, &[]));
    assert_eq!(rank(leader, &[]), 0);
    let ids: Vec<u64> = standbys.iter().map(|vm| *vm as u64 + 1).collect();
    let before = rank(standbys[3], &[]);
    assert_eq!(rank(standbys[3], &ids[..3]), before - 3);
    // A store that refuses all VMs is not called by all of them at once.
    let everyone: Vec<u64> = (1..=12).collect();
    assert_eq!(rank(standbys[10], &everyone), rank(standbys[10], &[]) - 4);
}
