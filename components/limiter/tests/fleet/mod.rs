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

/// A bug of the limiter that the oracle must find, injected from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bug {
    None,
    /// Grants do not count as outstanding.
    OutstandingForgotten,
    /// Every added unit starts with a full bucket.
    AlwaysFresh,
    /// The clock stands still while the process is paused.
    ClockStops,
}

#[derive(Clone, Debug)]
pub enum Op {
    /// Requests arrive at a VM.
    Requests(usize, u32),
    /// Time passes, in ms.
    Run(u64),
    /// A VM is paused, in ms.
    Pause(usize, u64),
    /// Messages from the first VM to the second are lost.
    Partition(usize, usize),
    /// The network recovers, and all VMs know each other again.
    Heal,
    /// A VM is replaced by a new one.
    Replace(usize),
    Network {
        loss: u8,
        copies: u8,
        delay_ms: u64,
    },
    Store(Fault),
    Outage(bool),
    /// A VM releases its units except for some.
    Release(usize, u32),
    /// A VM sees only the VMs of a bit mask as live.
    SetView(usize, u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % VMS;
        let n = u64::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..10 => Op::Requests(vm, (n % 40) as u32),
            10..18 => Op::Run(n % 2500),
            18 => Op::Run(n % 60_000),
            19..22 => Op::Pause(vm, n % if n.is_multiple_of(4) { 80_000 } else { 3000 }),
            22 => Op::Partition(vm, usize::arbitrary(g) % VMS),
            23 | 24 => Op::Heal,
            25 if n.is_multiple_of(2) => Op::Replace(vm),
            25 => Op::Release(vm, 0),
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
            30 => Op::Release(vm, (n % 4) as u32),
            _ => Op::SetView(vm, n as u8),
        }
    }
}

struct Vm {
    incarnation: u64,
    limiter: Box<dyn Limiter>,
    holder: Holder,
    clock: Arc<AtomicU64>,
    paused_until: u64,
    next_renewal: u64,
    waiting: Vec<u64>,
    /// Total time paused.
    paused: u64,
}

/// VMs with a limiter, a rights holder and a clock each, a network and a table.
pub struct Fleet {
    rate: Rate,
    bug: Bug,
    rng: SmallRng,
    table: Arc<FakeTable>,
    outage: bool,
    vms: Vec<Vm>,
    now_ms: u64,
    last_incarnation: u64,
    messages: Vec<(u64, u64, u64, LimiterMessage)>,
    partitions: BTreeSet<(usize, usize)>,
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
            last_incarnation: 0,
            messages: Vec::new(),
            partitions: BTreeSet::new(),
            network: (0, 0, 2),
            admitted: Vec::new(),
        };
        for place in 0..VMS {
            let vm = fleet.start();
            fleet.vms.insert(place, vm);
        }
        fleet.update_views();
        fleet
    }

    fn start(&mut self) -> Vm {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let clock = Arc::new(AtomicU64::new(0));
        let read = Arc::clone(&clock);
        let now = Arc::new(move || Duration::from_micros(read.load(Ordering::Relaxed)));
        let mut limiter =
            kernel::build_limiter("shares", &VmContext { incarnation, vms: VMS }).unwrap();
        limiter.set_rate(now(), "o", Some(self.rate));
        let holder = Holder::new(Arc::clone(&self.table) as _, incarnation, LEASE, now);
        let (paused_until, next_renewal) = (0, 0);
        Vm {
            incarnation,
            limiter,
            holder,
            clock,
            paused_until,
            next_renewal,
            waiting: Vec::new(),
            paused: 0,
        }
    }

    fn update_views(&mut self) {
        let all: Vec<u64> = self.vms.iter().map(|vm| vm.incarnation).collect();
        for vm in &mut self.vms {
            vm.limiter.set_vms(Duration::ZERO, &all);
        }
    }

    /// The time on a VM's clock. Clocks start at different times and run up to 0.04% fast or slow.
    fn clock(&self, vm: usize) -> Duration {
        let vm = &self.vms[vm];
        let drift = 9996 + vm.incarnation % 9;
        let paused = if self.bug == Bug::ClockStops { vm.paused } else { 0 };
        let us = vm.incarnation * 7_000_000 + self.now_ms.saturating_sub(paused) * drift / 10;
        vm.clock.store(us, Ordering::Relaxed);
        Duration::from_micros(us)
    }

    fn is_paused(&self, vm: usize) -> bool {
        self.now_ms < self.vms[vm].paused_until
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Requests(vm, n) => (0..n).for_each(|_| self.request(vm)),
            Op::Run(ms) => (0..ms.div_ceil(TICK_MS)).for_each(|_| self.tick()),
            Op::Pause(vm, ms) if !self.is_paused(vm) => {
                self.vms[vm].paused_until = self.now_ms + ms;
                self.vms[vm].paused += ms;
            }
            Op::Partition(from, to) => drop(self.partitions.insert((from, to))),
            Op::Heal => {
                self.partitions.clear();
                self.network = (0, 0, 2);
                self.update_views();
            }
            Op::Replace(vm) => {
                self.vms[vm] = self.start();
                self.update_views();
            }
            Op::Network { loss, copies, delay_ms } => self.network = (loss, copies, delay_ms),
            Op::Store(fault) => self.table.inject(fault),
            Op::Outage(on) => self.outage = on,
            Op::Release(vm, keep) if !self.is_paused(vm) => {
                let until = self.vms[vm].holder.held().first().map(|h| h.2);
                if let Some(held) = until.filter(|h| h.units > keep) {
                    self.set_units(vm, keep, held.expires_at, false);
                    self.release_units(vm, keep);
                }
            }
            Op::SetView(vm, mask) if !self.is_paused(vm) => {
                let seen = self.vms.iter().enumerate().filter(|(i, _)| mask >> i & 1 == 1);
                let seen: Vec<u64> = seen.map(|(_, vm)| vm.incarnation).collect();
                let now = self.clock(vm);
                self.vms[vm].limiter.set_vms(now, &seen);
            }
            Op::Pause(..) | Op::Release(..) | Op::SetView(..) => {}
        }
    }

    fn request(&mut self, vm: usize) {
        if self.is_paused(vm) {
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
        self.run_actions(vm);
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
        for vm in
            (0..VMS).filter(|vm| self.now_ms >= self.vms[*vm].paused_until).collect::<Vec<_>>()
        {
            let now = self.clock(vm);
            self.renew(vm);
            let me = self.vms[vm].incarnation;
            let due = |m: &mut (u64, u64, u64, LimiterMessage)| m.1 == me && m.0 <= self.now_ms;
            let messages: Vec<_> = self.messages.extract_if(.., due).collect();
            for (_, _, from, message) in messages {
                if self.bug == Bug::OutstandingForgotten {
                    self.forge_settlement(me, from, &message);
                }
                self.vms[vm].limiter.receive(now, from, message);
                self.run_actions(vm);
            }
            let due = self.vms[vm].waiting.extract_if(.., |due| *due <= self.now_ms).count();
            (0..due).for_each(|_| self.request(vm));
            self.run_actions(vm);
        }
        let alive: Vec<u64> = self.vms.iter().map(|vm| vm.incarnation).collect();
        self.messages.retain(|m| alive.contains(&m.1));
    }

    fn forge_settlement(&mut self, me: u64, holder: u64, message: &LimiterMessage) {
        if let LimiterMessage::Grant { organisation, grant, tokens, .. } = message {
            let settled = vec![(*grant, *tokens)];
            let organisation = organisation.clone();
            let ask = LimiterMessage::Ask { organisation, grant: 0, tokens: 0.0, settled };
            self.messages.push((self.now_ms, holder, me, ask));
        }
    }

    fn run_actions(&mut self, vm: usize) {
        let now = self.clock(vm);
        for action in self.vms[vm].limiter.poll(now) {
            match action {
                LimiterAction::Send { to, message } => self.send(vm, to, message),
                LimiterAction::Claim { units, .. } => {
                    let holder = &mut self.vms[vm].holder;
                    let claim = holder.claim("rate", "o", units, RATE_UNITS, RATE_UNITS);
                    if let Ok(held) = block_on(claim) {
                        self.set_units(vm, held.units, held.expires_at, held.first_use);
                        // The VM is paused right after the claim if the table scripted a pause for
                        // it.
                        let pause = self.table.clock_ms.swap(0, Ordering::Relaxed);
                        self.apply(&Op::Pause(vm, pause));
                    }
                }
                LimiterAction::Release { units, .. } => self.release_units(vm, units),
            }
        }
    }

    fn release_units(&mut self, vm: usize, keep: u32) {
        // The rights holder retries a failed release.
        let _ = block_on(self.vms[vm].holder.release("rate", "o", keep));
        self.sync_units(vm);
    }

    fn sync_units(&mut self, vm: usize) {
        match self.vms[vm].holder.held().first().map(|h| h.2) {
            Some(held) => self.set_units(vm, held.units, held.expires_at, false),
            None => self.set_units(vm, 0, Duration::ZERO, false),
        }
    }

    fn set_units(&mut self, vm: usize, units: u32, expires_at: Duration, first_use: bool) {
        let now = self.clock(vm);
        let first_use = first_use || self.bug == Bug::AlwaysFresh;
        self.vms[vm].limiter.set_units(now, "o", units, RATE_UNITS, expires_at, first_use);
    }

    fn renew(&mut self, vm: usize) {
        if self.vms[vm].next_renewal > self.now_ms {
            return;
        }
        self.vms[vm].next_renewal = self.now_ms + 3000;
        let _ = block_on(self.vms[vm].holder.renew());
        self.sync_units(vm);
    }

    fn send(&mut self, vm: usize, to: u64, message: LimiterMessage) {
        let from = self.vms[vm].incarnation;
        let (loss, copies, delay_ms) = self.network;
        let target = self.vms.iter().position(|v| v.incarnation == to);
        if target.is_none_or(|target| self.partitions.contains(&(vm, target))) {
            return;
        }
        let number = 1 + u32::from(self.rng.random_range(0..100) < copies);
        for _ in 0..number {
            if self.rng.random_range(0..100) >= loss {
                let due = self.now_ms + self.rng.random_range(0..=delay_ms);
                self.messages.push((due, to, from, message.clone()));
            }
        }
    }
}

/// Maximum number of admissions by which any window exceeds `rate`; negative if none does.
pub fn max_excess(admitted_ms: &[u64], rate: Rate) -> f64 {
    let mut largest = f64::NEG_INFINITY;
    // Of the windows that end at an admission, the one with the largest excess starts at the
    // admission with the smallest count minus refill.
    let mut min_line = f64::INFINITY;
    for (count, ms) in admitted_ms.iter().enumerate() {
        let line = count as f64 - rate.per_second * *ms as f64 / 1000.0;
        min_line = min_line.min(line);
        largest = largest.max(line - min_line + 1.0 - rate.burst);
    }
    largest
}
