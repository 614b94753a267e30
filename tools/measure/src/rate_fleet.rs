//! VMs with rate limiters, a network with latency and a store of rate shares, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use kernel::{Admission, Limiter, LimiterAction, LimiterMessage, Rate, VmContext};
use limiter::RATE_UNITS;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rights::RightRow;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const RENEW_INTERVAL: Duration = Duration::from_secs(10);
const LEASE_DURATION: Duration = Duration::from_secs(4 * 3600);
/// Round-trip time of a read and a write of the store.
const STORE_RTT: Duration = Duration::from_millis(10);
/// Time until the other VMs detect the loss of a VM.
const FAILURE_DETECTION_TIME: Duration = Duration::from_secs(2);
/// Maximum time that a request waits for a token, since its caller has a deadline.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(1);

/// Organisation whose requests are rate-limited.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Name.
    pub name: Box<str>,
    /// Rate and burst of the organisation over all VMs.
    pub rate: Rate,
    /// Weight of each VM in the random choice of the VM at which a request arrives.
    pub weights: Vec<f64>,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Name of the limiter plug-in.
    pub limiter: &'static str,
    /// Number of VMs, in two regions with two failure domains each.
    pub vms: usize,
    /// Duration of the run.
    pub duration: Duration,
    /// Whether an organisation sends four times its rate for one second of every ten.
    pub bursts: bool,
    /// When the VM with the most units, summed over all organisations, is lost.
    pub vm_lost_at: Option<Duration>,
    /// When the store becomes unavailable, until the end of the run.
    pub outage_start: Option<Duration>,
}

/// Counts of one organisation.
#[derive(Clone, Debug, Default)]
pub struct OrganisationCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that one token bucket for the whole fleet would have admitted.
    pub ideal: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Largest excess of the admitted requests in any window over burst + rate * time.
    pub excess: f64,
}

/// Results of a run.
pub struct Report {
    /// Counts by organisation.
    pub counts: Vec<OrganisationCounts>,
    /// Times that admitted requests waited for a token, in microseconds.
    pub waits: Histogram<u64>,
    /// Messages between VMs.
    pub messages: u64,
    /// Messages to VMs of the other region.
    pub cross_region: u64,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Retry { organisation: usize, vm: usize, arrived_at: Duration },
    Poll(usize),
    Renew(usize),
    Deliver { to: usize, from: u64, message: LimiterMessage },
    Claimed { vm: usize, organisation: usize, units: u32, first_use: bool },
    VmLoss,
}

struct Vm {
    limiter: Box<dyn Limiter>,
    units: Vec<u32>,
    lease_end: Duration,
    alive: bool,
}

#[derive(Clone, Default)]
struct ReferenceBucket {
    tokens: f64,
    updated_at: Duration,
    min_surplus: f64,
}

/// A run in progress.
pub struct RateFleet<'a> {
    options: &'a RunOptions,
    organisations: &'a [Organisation],
    arrival_rng: SmallRng,
    network_rng: SmallRng,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    vms: Vec<Vm>,
    share_rows: Vec<RightRow>,
    references: Vec<ReferenceBucket>,
    report: Report,
}

impl<'a> RateFleet<'a> {
    /// Simulates a run. The arrivals depend only on the seed, the organisations, and the duration
    /// and bursts of the run, so that different limiters get the same requests.
    pub fn run(
        options: &'a RunOptions,
        organisations: &'a [Organisation],
        seed: u64,
    ) -> anyhow::Result<Report> {
        let mut fleet = RateFleet {
            options,
            organisations,
            arrival_rng: SmallRng::seed_from_u64(seed),
            network_rng: SmallRng::seed_from_u64(!seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            vms: Vec::new(),
            share_rows: vec![RightRow::new(RATE_UNITS); organisations.len()],
            references: Vec::new(),
            report: Report {
                counts: vec![OrganisationCounts::default(); organisations.len()],
                waits: Histogram::new_with_max(60_000_000, 3)?,
                messages: 0,
                cross_region: 0,
            },
        };
        fleet.start()?;
        while let Some(Reverse((at, id))) = fleet.queue.pop() {
            if at > options.duration {
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
        for vm in 0..self.options.vms {
            let context = VmContext { incarnation: incarnation(vm), vms: self.options.vms };
            let mut limiter = kernel::build_limiter(self.options.limiter, &context)?;
            for spec in self.organisations {
                limiter.set_rate(self.now, &spec.name, Some(spec.rate));
            }
            let units = vec![0; self.organisations.len()];
            self.vms.push(Vm { limiter, units, lease_end: LEASE_DURATION, alive: true });
            let position = vm as u32 + 1;
            self.schedule_after(
                POLL_INTERVAL * position / self.options.vms as u32,
                Event::Poll(vm),
            );
            self.schedule_after(
                RENEW_INTERVAL * position / self.options.vms as u32,
                Event::Renew(vm),
            );
        }
        self.update_vm_lists();
        for (organisation, spec) in self.organisations.iter().enumerate() {
            let tokens = spec.rate.burst;
            self.references.push(ReferenceBucket {
                tokens,
                updated_at: Duration::ZERO,
                min_surplus: f64::INFINITY,
            });
            self.schedule_arrival(organisation);
        }
        if let Some(at) = self.options.vm_lost_at {
            self.schedule_after(at, Event::VmLoss);
        }
        Ok(())
    }

    fn schedule_after(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((self.now + after, self.next_event)));
    }

    fn update_vm_lists(&mut self) {
        let alive: Vec<u64> =
            (0..self.vms.len()).filter(|vm| self.vms[*vm].alive).map(incarnation).collect();
        for vm in &mut self.vms {
            vm.limiter.set_vms(self.now, &alive);
        }
    }

    fn schedule_arrival(&mut self, organisation: usize) {
        let rate = self.organisations[organisation].rate.per_second;
        // Staggers the bursts, so that those of different organisations overlap only partly.
        let phase = (self.now.as_secs_f64() + 0.7 * organisation as f64) % 10.0;
        let factor = match (self.options.bursts, phase < 1.0) {
            (false, _) => 0.9,
            (true, true) => 4.0,
            (true, false) => 5.0 / 9.0,
        };
        let gap = -(1.0 - self.arrival_rng.random::<f64>()).ln() / (rate * factor);
        self.schedule_after(Duration::from_secs_f64(gap), Event::Arrive(organisation));
    }

    fn choose_vm(&mut self, organisation: usize) -> usize {
        let weights = &self.organisations[organisation].weights;
        let mut remaining = self.arrival_rng.random::<f64>() * weights.iter().sum::<f64>();
        let chosen = weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        let chosen = chosen.unwrap_or(0);
        // Callers of a lost VM use another one.
        (0..self.vms.len())
            .map(|step| (chosen + 7 * step) % self.vms.len())
            .find(|vm| self.vms[*vm].alive)
            .unwrap_or(chosen)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(organisation) => {
                self.schedule_arrival(organisation);
                let vm = self.choose_vm(organisation);
                self.report.counts[organisation].arrived += 1;
                self.record_ideal(organisation);
                self.admit(organisation, vm, self.now);
            }
            Event::Retry { organisation, vm, arrived_at } if self.vms[vm].alive => {
                self.admit(organisation, vm, arrived_at);
            }
            Event::Poll(vm) if self.vms[vm].alive => {
                self.schedule_after(POLL_INTERVAL, Event::Poll(vm));
                self.run_actions(vm);
            }
            Event::Renew(vm) if self.vms[vm].alive => {
                self.schedule_after(RENEW_INTERVAL, Event::Renew(vm));
                self.renew(vm);
            }
            Event::Deliver { to, from, message } if self.vms[to].alive => {
                self.vms[to].limiter.receive(self.now, from, message);
                self.run_actions(to);
            }
            Event::Claimed { vm, organisation, units, first_use } if self.vms[vm].alive => {
                self.vms[vm].units[organisation] = units;
                self.set_units(vm, organisation, first_use);
            }
            Event::VmLoss => self.lose_vm(),
            _ => {}
        }
    }

    /// Stops the VM with the most units; on the second call, removes it from the other VMs' lists.
    fn lose_vm(&mut self) {
        if self.vms.iter().any(|vm| !vm.alive) {
            self.update_vm_lists();
            return;
        }
        let units = |vm: &usize| self.vms[*vm].units.iter().sum::<u32>();
        let victim = (0..self.vms.len()).max_by_key(|vm| units(vm)).unwrap_or(0);
        self.vms[victim].alive = false;
        self.schedule_after(FAILURE_DETECTION_TIME, Event::VmLoss);
    }

    fn record_ideal(&mut self, organisation: usize) {
        let rate = self.organisations[organisation].rate;
        let reference = &mut self.references[organisation];
        let elapsed = (self.now - reference.updated_at).as_secs_f64();
        reference.updated_at = self.now;
        reference.tokens = (reference.tokens + elapsed * rate.per_second).min(rate.burst);
        if reference.tokens >= 1.0 {
            reference.tokens -= 1.0;
            self.report.counts[organisation].ideal += 1;
        }
    }

    fn admit(&mut self, organisation: usize, vm: usize, arrived_at: Duration) {
        let name = &self.organisations[organisation].name;
        match self.vms[vm].limiter.admit(self.now, name) {
            Admission::Admitted => {
                self.record_admitted(organisation);
                self.report.waits.saturating_record((self.now - arrived_at).as_micros() as u64);
            }
            Admission::Wait(wait) if self.now + wait < arrived_at + MAX_TOKEN_WAIT => {
                self.schedule_after(wait, Event::Retry { organisation, vm, arrived_at });
            }
            Admission::Wait(_) | Admission::Refused(_) => {}
        }
        self.run_actions(vm);
    }

    fn record_admitted(&mut self, organisation: usize) {
        let rate = self.organisations[organisation].rate;
        let count = &mut self.report.counts[organisation];
        let surplus = count.admitted as f64 - rate.per_second * self.now.as_secs_f64();
        let min_surplus = &mut self.references[organisation].min_surplus;
        *min_surplus = min_surplus.min(surplus);
        count.excess = count.excess.max(surplus - *min_surplus + 1.0 - rate.burst);
        count.admitted += 1;
    }

    fn is_store_unavailable(&self) -> bool {
        self.options.outage_start.is_some_and(|at| self.now >= at)
    }

    fn renew(&mut self, vm: usize) {
        if self.is_store_unavailable() {
            return;
        }
        self.vms[vm].lease_end = self.now + LEASE_DURATION;
        for organisation in 0..self.organisations.len() {
            if self.vms[vm].units[organisation] > 0 {
                self.set_units(vm, organisation, false);
            }
        }
    }

    fn set_units(&mut self, vm: usize, organisation: usize, first_use: bool) {
        let name = &self.organisations[organisation].name;
        let vm = &mut self.vms[vm];
        vm.limiter.set_units(
            self.now,
            name,
            vm.units[organisation],
            RATE_UNITS,
            vm.lease_end,
            first_use,
        );
    }

    fn run_actions(&mut self, vm: usize) {
        for action in self.vms[vm].limiter.poll(self.now) {
            match action {
                LimiterAction::Send { to, message } => {
                    self.report.messages += 1;
                    let to = to as usize - 1;
                    self.report.cross_region += u64::from(latency(vm, to) > latency(vm, vm));
                    let delay = latency(vm, to).mul_f64(self.network_rng.random_range(1.0..1.2));
                    self.schedule_after(
                        delay,
                        Event::Deliver { to, from: incarnation(vm), message },
                    );
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

    fn organisation_index(&self, name: &str) -> usize {
        self.organisations.iter().position(|t| &*t.name == name).unwrap_or(0)
    }

    fn claim(&mut self, vm: usize, name: &str, units: u32) {
        let organisation = self.organisation_index(name);
        if self.is_store_unavailable() {
            return;
        }
        if let Ok(claimed) = self.share_rows[organisation].claim(incarnation(vm), units, RATE_UNITS)
        {
            self.share_rows[organisation] = claimed.row;
            let (units, first_use) = (claimed.units, claimed.first_use);
            self.schedule_after(STORE_RTT, Event::Claimed { vm, organisation, units, first_use });
        }
    }

    fn release(&mut self, vm: usize, name: &str, units: u32) {
        let organisation = self.organisation_index(name);
        if !self.is_store_unavailable() {
            self.share_rows[organisation] =
                self.share_rows[organisation].release(incarnation(vm), units);
        }
        self.vms[vm].units[organisation] = units;
        self.set_units(vm, organisation, false);
    }
}

fn incarnation(vm: usize) -> u64 {
    vm as u64 + 1
}

/// One-way latency: even VMs are in one region, odd ones in the other.
fn latency(a: usize, b: usize) -> Duration {
    Duration::from_millis(if a % 2 == b % 2 { 1 } else { 30 })
}
