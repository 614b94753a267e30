//! Which VM serves a failure domain, over losses, stops and freezes.

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
                let beat = self.vms[from].heartbeat(self.now);
                for to in 0..self.vms.len() {
                    if to != from && !self.down.contains(&to) {
                        self.vms[to].receive(self.now, beat);
                    }
                }
            }
        }
    }

    fn homes(&mut self) -> Vec<usize> {
        let now = self.now;
        let live = (0..self.vms.len()).filter(|vm| !self.down.contains(vm)).collect::<Vec<_>>();
        live.into_iter().filter(|vm| self.vms[*vm].poll(now) == Role::Leader).collect()
    }
}

#[test]
fn vms_that_start_together_agree_on_one_home() {
    let mut fleet = Fleet::new(12);
    fleet.run(600);
    assert_eq!(fleet.homes().len(), 1);
}

#[test]
fn a_lost_home_is_replaced_within_a_second_and_stays_replaced() {
    let mut fleet = Fleet::new(12);
    fleet.run(600);
    let lost = fleet.homes()[0];
    fleet.down.push(lost);
    fleet.run(1000);
    let homes = fleet.homes();
    assert_eq!(homes.len(), 1);
    fleet.down.clear();
    fleet.run(400);
    assert_eq!(fleet.homes(), homes, "a home that returns steps down");
}

#[test]
fn a_stopping_home_hands_over_at_once() {
    let mut fleet = Fleet::new(4);
    fleet.run(600);
    let home = fleet.homes()[0];
    fleet.vms[home].set_eligible(false);
    let (now, vm) = (fleet.now, home as u64 + 1);
    for other in (0..4).filter(|other| *other != home) {
        fleet.vms[other].remove_vm(now, vm);
    }
    fleet.run(600);
    let homes = fleet.homes();
    assert_eq!(homes.len(), 1);
    assert_ne!(homes[0], home);
}

#[test]
fn a_vm_that_cannot_serve_never_becomes_home() {
    let mut fleet = Fleet::new(3);
    fleet.vms[2].set_eligible(false);
    fleet.run(600);
    for _ in 0..2 {
        let home = fleet.homes()[0];
        fleet.down.push(home);
        fleet.run(1500);
    }
    fleet.run(3000);
    assert!(fleet.homes().is_empty());
}

#[test]
fn the_most_powerful_vm_reads_the_store_first_when_all_start_with_nothing() {
    // Incarnations are random: here the least powerful VM has the highest.
    let powers = [0.5, 0.1, 0.1, 0.5, 0.1];
    let vm = |(n, power)| Election::new(Uptime::ZERO, n + 1, power);
    let mut vms: Vec<Election> = (0_u64..).zip(powers).map(vm).collect();
    let now = Duration::from_millis(40);
    let beats: Vec<_> = vms.iter().map(|vm| vm.heartbeat(now)).collect();
    for vm in &mut vms {
        beats.iter().for_each(|beat| vm.receive(now, *beat));
    }
    let ranks: Vec<u32> = vms.iter().map(|vm| vm.store_read_rank(now)).collect();
    assert_eq!(ranks, [1, 4, 3, 0, 2]);
}

// A VM learns the configuration from the first that has it, before that one claims to be home. Its
// silence was counted from the start of the process, so that each such VM claimed at once.
#[test]
fn vms_that_learn_from_the_first_one_leave_it_the_claim() {
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
fn of_two_claims_of_one_term_the_more_powerful_vm_wins() {
    let mut strong = Election::new(Uptime::ZERO, 1, 0.5);
    let mut weak = Election::new(Uptime::ZERO, 2, 0.1);
    let ms = Duration::from_millis;
    for vm in [&mut strong, &mut weak] {
        vm.set_eligible(true);
        assert_eq!(vm.poll(ms(600)), Role::Leader);
    }
    let (from_strong, from_weak) = (strong.heartbeat(ms(610)), weak.heartbeat(ms(610)));
    strong.receive(ms(611), from_weak);
    weak.receive(ms(611), from_strong);
    assert_eq!(strong.poll(ms(650)), Role::Leader);
    assert_eq!(weak.poll(ms(650)), Role::Standby);
}
