use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::executor::block_on;
use kernel::{Admission, Limiter, LimiterAction, LimiterMessage, Rate, VmContext};
use limiter::RATE_UNITS;
use quickcheck::{Arbitrary, Gen};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rights::Holder;

use crate::fake::{FakeTable, Fault};

pub const VMS: usize = 4;
const LEASE: Duration = Duration::from_secs(30);
const TICK_MS: u64 = 20;

/// A fault of the limiter that the oracle has to find, imitated from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bug {
    None,
    /// Grants do not count as outstanding.
    OutstandingForgotten,
    /// All units start with full buckets.
    AlwaysFresh,
    /// The clock stands still while the process is paused.
    ClockStops,
}

#[derive(Clone, Debug)]
pub enum Op {
    Arrive(usize, u32),
    Run(u64),
    Freeze(usize, u64),
    Cut(usize, usize),
    Heal,
    Replace(usize),
    Network { loss: u8, copies: u8, delay_ms: u64 },
    Store(Fault),
    Outage(bool),
    Move(usize, u32),
    View(usize, u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % VMS;
        let n = u64::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..10 => Op::Arrive(vm, (n % 40) as u32),
            10..18 => Op::Run(n % 2500),
            18 => Op::Run(n % 60_000),
            19..22 => Op::Freeze(vm, n % if n.is_multiple_of(4) { 80_000 } else { 3000 }),
            22 => Op::Cut(vm, usize::arbitrary(g) % VMS),
            23 | 24 => Op::Heal,
            25 if n.is_multiple_of(2) => Op::Replace(vm),
            25 => Op::Move(vm, 0),
            26 | 27 => {
                let delay_ms = [2, 60, 400, 4000][(n % 4) as usize];
                Op::Network { loss: (n % 40) as u8, copies: (n % 50) as u8, delay_ms }
            }
            28 => Op::Store(match n % 4 {
                0 => Fault::LostAfter,
                1 => Fault::LostBefore,
                2 => Fault::Paused(n % 20, n % 30),
                _ => Fault::Delayed((n % 5) as u8),
            }),
            29 => Op::Outage(n.is_multiple_of(3)),
            30 => Op::Move(vm, (n % 4) as u32),
            _ => Op::View(vm, n as u8),
        }
    }
}

struct Vm {
    incarnation: u64,
    limiter: Box<dyn Limiter>,
    holder: Holder,
    clock: Arc<AtomicU64>,
    frozen: u64,
    renewed: u64,
    waiting: Vec<u64>,
    /// Time paused so far.
    paused: u64,
}

/// VMs with limiters, holders and clocks of their own, a network and a table.
pub struct Fleet {
    rate: Rate,
    bug: Bug,
    rng: SmallRng,
    table: Arc<FakeTable>,
    outage: bool,
    vms: Vec<Vm>,
    now_ms: u64,
    next: u64,
    mail: Vec<(u64, u64, u64, LimiterMessage)>,
    cuts: BTreeSet<(usize, usize)>,
    network: (u8, u8, u64),
    /// Times of all admissions, in ms.
    pub admitted: Vec<u64>,
}

impl Fleet {
    pub fn new(seed: u64, rate: Rate, bug: Bug) -> Self {
        let mut fleet = Fleet {
            rate,
            bug,
            rng: SmallRng::seed_from_u64(seed),
            table: Arc::default(),
            outage: false,
            vms: Vec::new(),
            now_ms: 0,
            next: 0,
            mail: Vec::new(),
            cuts: BTreeSet::new(),
            network: (0, 0, 2),
            admitted: Vec::new(),
        };
        for place in 0..VMS {
            let vm = fleet.start();
            fleet.vms.insert(place, vm);
        }
        fleet.show_all();
        fleet
    }

    fn start(&mut self) -> Vm {
        self.next += 1;
        let incarnation = self.next;
        let clock = Arc::new(AtomicU64::new(0));
        let read = Arc::clone(&clock);
        let now = Arc::new(move || Duration::from_micros(read.load(Ordering::Relaxed)));
        let mut limiter =
            kernel::build_limiter("shares", &VmContext { incarnation, vms: VMS }).unwrap();
        limiter.set_rate(now(), "o", Some(self.rate));
        let holder = Holder::new(Arc::clone(&self.table) as _, incarnation, LEASE, now);
        let (frozen, renewed) = (0, 0);
        Vm { incarnation, limiter, holder, clock, frozen, renewed, waiting: Vec::new(), paused: 0 }
    }

    fn show_all(&mut self) {
        let all: Vec<u64> = self.vms.iter().map(|vm| vm.incarnation).collect();
        for vm in &mut self.vms {
            vm.limiter.set_vms(Duration::ZERO, &all);
        }
    }

    /// The time on a VM's clock. Clocks start anywhere and run up to 0.04% fast or slow.
    fn clock(&self, vm: usize) -> Duration {
        let vm = &self.vms[vm];
        let drift = 9996 + vm.incarnation % 9;
        let paused = if self.bug == Bug::ClockStops { vm.paused } else { 0 };
        let us = vm.incarnation * 7_000_000 + self.now_ms.saturating_sub(paused) * drift / 10;
        vm.clock.store(us, Ordering::Relaxed);
        Duration::from_micros(us)
    }

    fn frozen(&self, vm: usize) -> bool {
        self.now_ms < self.vms[vm].frozen
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Arrive(vm, n) => (0..n).for_each(|_| self.request(vm)),
            Op::Run(ms) => (0..ms.div_ceil(TICK_MS)).for_each(|_| self.tick()),
            Op::Freeze(vm, ms) if !self.frozen(vm) => {
                self.vms[vm].frozen = self.now_ms + ms;
                self.vms[vm].paused += ms;
            }
            Op::Cut(from, to) => drop(self.cuts.insert((from, to))),
            Op::Heal => {
                self.cuts.clear();
                self.network = (0, 0, 2);
                self.show_all();
            }
            Op::Replace(vm) => {
                self.vms[vm] = self.start();
                self.show_all();
            }
            Op::Network { loss, copies, delay_ms } => self.network = (loss, copies, delay_ms),
            Op::Store(fault) => self.table.inject(fault),
            Op::Outage(on) => self.outage = on,
            Op::Move(vm, keep) if !self.frozen(vm) => {
                let until = self.vms[vm].holder.held().first().map(|h| h.2);
                if let Some(held) = until.filter(|h| h.units > keep) {
                    self.set_units(vm, keep, held.expires_at, false);
                    self.give_up(vm, keep);
                }
            }
            Op::View(vm, mask) if !self.frozen(vm) => {
                let seen = self.vms.iter().enumerate().filter(|(i, _)| mask >> i & 1 == 1);
                let seen: Vec<u64> = seen.map(|(_, vm)| vm.incarnation).collect();
                let now = self.clock(vm);
                self.vms[vm].limiter.set_vms(now, &seen);
            }
            Op::Freeze(..) | Op::Move(..) | Op::View(..) => {}
        }
    }

    fn request(&mut self, vm: usize) {
        if self.frozen(vm) {
            return;
        }
        let now = self.clock(vm);
        match self.vms[vm].limiter.admit(now, "o") {
            Admission::Admitted => self.admitted.push(self.now_ms),
            Admission::Wait(wait) => {
                let due = self.now_ms + wait.as_millis() as u64;
                self.vms[vm].waiting.push(due);
            }
            Admission::Refused(_) => {}
        }
        self.act(vm);
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        if self.outage {
            let mut faults = self.table.faults.lock().unwrap();
            faults.clear();
            faults.extend([Fault::Unreachable; 64]);
        } else {
            self.table.faults.lock().unwrap().retain(|f| !matches!(f, Fault::Unreachable));
        }
        for vm in (0..VMS).filter(|vm| self.now_ms >= self.vms[*vm].frozen).collect::<Vec<_>>() {
            let now = self.clock(vm);
            self.renew(vm);
            let me = self.vms[vm].incarnation;
            let due = |m: &mut (u64, u64, u64, LimiterMessage)| m.1 == me && m.0 <= self.now_ms;
            let mail: Vec<_> = self.mail.extract_if(.., due).collect();
            for (_, _, from, message) in mail {
                if self.bug == Bug::OutstandingForgotten {
                    self.forge_settlement(me, from, &message);
                }
                self.vms[vm].limiter.receive(now, from, message);
                self.act(vm);
            }
            let due = self.vms[vm].waiting.extract_if(.., |due| *due <= self.now_ms).count();
            (0..due).for_each(|_| self.request(vm));
            self.act(vm);
        }
        let alive: Vec<u64> = self.vms.iter().map(|vm| vm.incarnation).collect();
        self.mail.retain(|m| alive.contains(&m.1));
    }

    fn forge_settlement(&mut self, me: u64, holder: u64, message: &LimiterMessage) {
        if let LimiterMessage::Grant { organisation, grant, tokens, .. } = message {
            let settled = vec![(*grant, *tokens)];
            let organisation = organisation.clone();
            let ask = LimiterMessage::Ask { organisation, grant: 0, tokens: 0.0, settled };
            self.mail.push((self.now_ms, holder, me, ask));
        }
    }

    fn act(&mut self, vm: usize) {
        let now = self.clock(vm);
        for action in self.vms[vm].limiter.poll(now) {
            match action {
                LimiterAction::Send { to, message } => self.send(vm, to, message),
                LimiterAction::Claim { units, .. } => {
                    let holder = &mut self.vms[vm].holder;
                    let claim = holder.claim("rate", "o", units, RATE_UNITS, RATE_UNITS);
                    if let Ok(held) = block_on(claim) {
                        self.set_units(vm, held.units, held.expires_at, held.first_use);
                        // A pause in the claim goes on right after it.
                        let pause = self.table.clock_ms.swap(0, Ordering::Relaxed);
                        self.apply(&Op::Freeze(vm, pause));
                    }
                }
                LimiterAction::Release { units, .. } => self.give_up(vm, units),
            }
        }
    }

    fn give_up(&mut self, vm: usize, keep: u32) {
        // A failed release is repeated by the holder.
        let _ = block_on(self.vms[vm].holder.release("rate", "o", keep));
        self.show_held(vm);
    }

    fn show_held(&mut self, vm: usize) {
        match self.vms[vm].holder.held().first().map(|h| h.2) {
            Some(held) => self.set_units(vm, held.units, held.expires_at, false),
            None => self.set_units(vm, 0, Duration::ZERO, false),
        }
    }

    fn set_units(&mut self, vm: usize, units: u32, until: Duration, fresh: bool) {
        let now = self.clock(vm);
        let fresh = fresh || self.bug == Bug::AlwaysFresh;
        self.vms[vm].limiter.set_units(now, "o", units, RATE_UNITS, until, fresh);
    }

    fn renew(&mut self, vm: usize) {
        if self.vms[vm].renewed > self.now_ms {
            return;
        }
        self.vms[vm].renewed = self.now_ms + 3000;
        let _ = block_on(self.vms[vm].holder.renew());
        self.show_held(vm);
    }

    fn send(&mut self, vm: usize, to: u64, message: LimiterMessage) {
        let from = self.vms[vm].incarnation;
        let (loss, copies, delay_ms) = self.network;
        let target = self.vms.iter().position(|v| v.incarnation == to);
        if target.is_none_or(|target| self.cuts.contains(&(vm, target))) {
            return;
        }
        let number = 1 + u32::from(self.rng.random_range(0..100) < copies);
        for _ in 0..number {
            if self.rng.random_range(0..100) >= loss {
                let due = self.now_ms + self.rng.random_range(0..=delay_ms);
                self.mail.push((due, to, from, message.clone()));
            }
        }
    }
}

/// The most by which the admissions of any window exceed `rate`; negative if none does.
pub fn excess(admitted_ms: &[u64], rate: Rate) -> f64 {
    let mut worst = f64::NEG_INFINITY;
    // The window that ends at an admission and holds the most beyond its refill starts at the
    // admission with the least count minus refill.
    let mut least = f64::INFINITY;
    for (count, ms) in admitted_ms.iter().enumerate() {
        let line = count as f64 - rate.per_second * *ms as f64 / 1000.0;
        least = least.min(line);
        worst = worst.max(line - least + 1.0 - rate.burst);
    }
    worst
}
