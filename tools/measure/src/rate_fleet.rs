//! VMs with limiters, a network with latency and a share ledger, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use kernel::{Admission, Limiter, LimiterAction, LimiterMessage, Rate, VmContext};
use limiter::RATE_UNITS;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rights::RightRow;

const POLL_EVERY: Duration = Duration::from_millis(20);
const RENEW_EVERY: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_secs(4 * 3600);
/// Round trip to the table and back, both writes and reads.
const STORE_DELAY: Duration = Duration::from_millis(10);
/// Time until the other VMs notice that one is gone.
const NOTICE: Duration = Duration::from_secs(2);
/// Longest that a request waits for a token; its caller has a deadline.
const PATIENCE: Duration = Duration::from_secs(1);

/// An organisation of the experiment.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Name.
    pub name: Box<str>,
    /// Rate and burst over all VMs.
    pub rate: Rate,
    /// Weight of each VM in the choice of the VM that a request arrives at.
    pub weights: Vec<f64>,
}

/// What happens to the fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Plug-in.
    pub limiter: &'static str,
    /// Number of VMs, in two regions with two failure domains each.
    pub vms: usize,
    /// Length of the run.
    pub length: Duration,
    /// Whether an organisation sends four times its rate for a second of every ten.
    pub bursts: bool,
    /// When the VM with the most units of the first organisation is lost.
    pub lost: Option<Duration>,
    /// When the store goes away until the end of the run.
    pub outage: Option<Duration>,
}

/// What was counted for one organisation.
#[derive(Clone, Debug, Default)]
pub struct Count {
    /// Requests.
    pub arrived: u64,
    /// Requests that one bucket for the whole fleet would have admitted.
    pub ideal: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// The most by which a window held more than burst + rate x time.
    pub excess: f64,
}

/// What was counted in a run.
pub struct Report {
    /// By organisation.
    pub counts: Vec<Count>,
    /// Time that admitted requests waited for their token, in microseconds.
    pub waits: Histogram<u64>,
    /// Messages between VMs.
    pub messages: u64,
    /// Those of them that went to the other region.
    pub far: u64,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Again { tenant: usize, vm: usize, since: Duration },
    Poll(usize),
    Renew(usize),
    Deliver { to: usize, from: u64, message: LimiterMessage },
    Claimed { vm: usize, tenant: usize, units: u32, fresh: bool },
    Noticed,
}

struct Vm {
    limiter: Box<dyn Limiter>,
    units: Vec<u32>,
    until: Duration,
    alive: bool,
}

#[derive(Clone, Default)]
struct Reference {
    level: f64,
    at: Duration,
    least: f64,
}

/// A run in progress.
pub struct RateFleet<'a> {
    plan: &'a Plan,
    tenants: &'a [Tenant],
    arrivals: SmallRng,
    network: SmallRng,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    vms: Vec<Vm>,
    rows: Vec<RightRow>,
    references: Vec<Reference>,
    report: Report,
}

impl<'a> RateFleet<'a> {
    /// Runs a plan. The arrivals depend on the seed, the tenants and the plan's length only.
    pub fn run(plan: &'a Plan, tenants: &'a [Tenant], seed: u64) -> anyhow::Result<Report> {
        let mut fleet = RateFleet {
            plan,
            tenants,
            arrivals: SmallRng::seed_from_u64(seed),
            network: SmallRng::seed_from_u64(!seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            vms: Vec::new(),
            rows: vec![RightRow::new(RATE_UNITS); tenants.len()],
            references: Vec::new(),
            report: Report {
                counts: vec![Count::default(); tenants.len()],
                waits: Histogram::new_with_max(60_000_000, 3)?,
                messages: 0,
                far: 0,
            },
        };
        fleet.start()?;
        while let Some(Reverse((at, id))) = fleet.queue.pop() {
            if at > plan.length {
                break;
            }
            fleet.now = at;
            if let Some(event) = fleet.events.remove(&id) {
                fleet.handle(event);
            }
        }
        Ok(fleet.report)
    }

    fn start(&mut self) -> anyhow::Result<()> {
        for vm in 0..self.plan.vms {
            let context = VmContext { incarnation: incarnation(vm), vms: self.plan.vms };
            let mut limiter = kernel::build_limiter(self.plan.limiter, &context)?;
            for tenant in self.tenants {
                limiter.set_rate(self.now, &tenant.name, Some(tenant.rate));
            }
            let units = vec![0; self.tenants.len()];
            self.vms.push(Vm { limiter, units, until: LEASE, alive: true });
            let part = vm as u32 + 1;
            self.later(POLL_EVERY * part / self.plan.vms as u32, Event::Poll(vm));
            self.later(RENEW_EVERY * part / self.plan.vms as u32, Event::Renew(vm));
        }
        self.show_vms();
        for (tenant, spec) in self.tenants.iter().enumerate() {
            let level = spec.rate.burst;
            self.references.push(Reference { level, at: Duration::ZERO, least: f64::INFINITY });
            self.schedule_arrival(tenant);
        }
        if let Some(at) = self.plan.lost {
            self.later(at, Event::Noticed);
        }
        Ok(())
    }

    fn later(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.now + after, self.next)));
    }

    fn show_vms(&mut self) {
        let alive: Vec<u64> =
            (0..self.vms.len()).filter(|vm| self.vms[*vm].alive).map(incarnation).collect();
        for vm in &mut self.vms {
            vm.limiter.set_vms(self.now, &alive);
        }
    }

    fn schedule_arrival(&mut self, tenant: usize) {
        let rate = self.tenants[tenant].rate.per_second;
        // Bursts of different organisations overlap in part.
        let phase = (self.now.as_secs_f64() + 0.7 * tenant as f64) % 10.0;
        let factor = match (self.plan.bursts, phase < 1.0) {
            (false, _) => 0.9,
            (true, true) => 4.0,
            (true, false) => 5.0 / 9.0,
        };
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / (rate * factor);
        self.later(Duration::from_secs_f64(gap), Event::Arrive(tenant));
    }

    fn choose_vm(&mut self, tenant: usize) -> usize {
        let weights = &self.tenants[tenant].weights;
        let mut left = self.arrivals.random::<f64>() * weights.iter().sum::<f64>();
        let chosen = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        let chosen = chosen.unwrap_or(0);
        // Callers of a lost VM turn to another one.
        (0..self.vms.len())
            .map(|step| (chosen + 7 * step) % self.vms.len())
            .find(|vm| self.vms[*vm].alive)
            .unwrap_or(chosen)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(tenant) => {
                self.schedule_arrival(tenant);
                let vm = self.choose_vm(tenant);
                self.report.counts[tenant].arrived += 1;
                self.count_ideal(tenant);
                self.admit(tenant, vm, self.now);
            }
            Event::Again { tenant, vm, since } if self.vms[vm].alive => {
                self.admit(tenant, vm, since);
            }
            Event::Poll(vm) if self.vms[vm].alive => {
                self.later(POLL_EVERY, Event::Poll(vm));
                self.act(vm);
            }
            Event::Renew(vm) if self.vms[vm].alive => {
                self.later(RENEW_EVERY, Event::Renew(vm));
                self.renew(vm);
            }
            Event::Deliver { to, from, message } if self.vms[to].alive => {
                self.vms[to].limiter.receive(self.now, from, message);
                self.act(to);
            }
            Event::Claimed { vm, tenant, units, fresh } if self.vms[vm].alive => {
                self.vms[vm].units[tenant] = units;
                self.set_units(vm, tenant, fresh);
            }
            Event::Noticed => self.lose(),
            _ => {}
        }
    }

    /// Loses the VM with the most units, or shows the others that it is gone.
    fn lose(&mut self) {
        if self.vms.iter().any(|vm| !vm.alive) {
            self.show_vms();
            return;
        }
        let units = |vm: &usize| self.vms[*vm].units.iter().sum::<u32>();
        let victim = (0..self.vms.len()).max_by_key(|vm| units(vm)).unwrap_or(0);
        self.vms[victim].alive = false;
        self.later(NOTICE, Event::Noticed);
    }

    fn count_ideal(&mut self, tenant: usize) {
        let rate = self.tenants[tenant].rate;
        let reference = &mut self.references[tenant];
        let elapsed = (self.now - reference.at).as_secs_f64();
        reference.at = self.now;
        reference.level = (reference.level + elapsed * rate.per_second).min(rate.burst);
        if reference.level >= 1.0 {
            reference.level -= 1.0;
            self.report.counts[tenant].ideal += 1;
        }
    }

    fn admit(&mut self, tenant: usize, vm: usize, since: Duration) {
        let name = &self.tenants[tenant].name;
        match self.vms[vm].limiter.admit(self.now, name) {
            Admission::Admitted => {
                self.count_admitted(tenant);
                self.report.waits.saturating_record((self.now - since).as_micros() as u64);
            }
            Admission::Wait(wait) if self.now + wait < since + PATIENCE => {
                self.later(wait, Event::Again { tenant, vm, since });
            }
            Admission::Wait(_) | Admission::Refused(_) => {}
        }
        self.act(vm);
    }

    fn count_admitted(&mut self, tenant: usize) {
        let rate = self.tenants[tenant].rate;
        let count = &mut self.report.counts[tenant];
        let line = count.admitted as f64 - rate.per_second * self.now.as_secs_f64();
        let least = &mut self.references[tenant].least;
        *least = least.min(line);
        count.excess = count.excess.max(line - *least + 1.0 - rate.burst);
        count.admitted += 1;
    }

    fn store_away(&self) -> bool {
        self.plan.outage.is_some_and(|at| self.now >= at)
    }

    fn renew(&mut self, vm: usize) {
        if self.store_away() {
            return;
        }
        self.vms[vm].until = self.now + LEASE;
        for tenant in 0..self.tenants.len() {
            if self.vms[vm].units[tenant] > 0 {
                self.set_units(vm, tenant, false);
            }
        }
    }

    fn set_units(&mut self, vm: usize, tenant: usize, fresh: bool) {
        let name = &self.tenants[tenant].name;
        let vm = &mut self.vms[vm];
        vm.limiter.set_units(self.now, name, vm.units[tenant], RATE_UNITS, vm.until, fresh);
    }

    fn act(&mut self, vm: usize) {
        for action in self.vms[vm].limiter.poll(self.now) {
            match action {
                LimiterAction::Send { to, message } => {
                    self.report.messages += 1;
                    let to = to as usize - 1;
                    self.report.far += u64::from(latency(vm, to) > latency(vm, vm));
                    let delay = latency(vm, to).mul_f64(self.network.random_range(1.0..1.2));
                    self.later(delay, Event::Deliver { to, from: incarnation(vm), message });
                }
                LimiterAction::Claim { organisation, units } => {
                    self.claim(vm, &organisation, units);
                }
                LimiterAction::Release { organisation, units } => {
                    self.release(vm, &organisation, units);
                }
            }
        }
    }

    fn tenant(&self, name: &str) -> usize {
        self.tenants.iter().position(|t| &*t.name == name).unwrap_or(0)
    }

    fn claim(&mut self, vm: usize, name: &str, units: u32) {
        let tenant = self.tenant(name);
        if self.store_away() {
            return;
        }
        if let Ok(claimed) = self.rows[tenant].claim(incarnation(vm), units, RATE_UNITS) {
            self.rows[tenant] = claimed.row;
            let (units, fresh) = (claimed.units, claimed.first_use);
            self.later(STORE_DELAY, Event::Claimed { vm, tenant, units, fresh });
        }
    }

    fn release(&mut self, vm: usize, name: &str, units: u32) {
        let tenant = self.tenant(name);
        if !self.store_away() {
            self.rows[tenant] = self.rows[tenant].release(incarnation(vm), units);
        }
        self.vms[vm].units[tenant] = units;
        self.set_units(vm, tenant, false);
    }
}

fn incarnation(vm: usize) -> u64 {
    vm as u64 + 1
}

/// One-way latency: even VMs are in one region, odd ones in the other.
fn latency(a: usize, b: usize) -> Duration {
    Duration::from_millis(if a % 2 == b % 2 { 1 } else { 30 })
}
