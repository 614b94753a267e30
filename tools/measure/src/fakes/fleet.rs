use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use kernel::{
    AttemptId, AttemptOutcome, BackendEvent, BackendId, BackendLimits, BackendSpec, Balancer,
    Detector, DetectorAction, HealthStatus, Place, ServiceContext, Uptime, build_balancer,
    build_detector,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

// The plug-ins are found by name, so the crates must be linked.
use {balancer as _, detector as _};

use super::requests::{Attempt, Request};
use super::{FakeBackend, Fault, Kind, Report, Setup};

/// Time that a request has.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);
/// Retries and hedges that each request earns.
const RETRY_PART: f64 = 0.05;
/// Time without new work after which a backend server counts as detected.
const LASTING: Duration = Duration::from_secs(5);
/// VMs of a fleet in which every VM decides alone.
const LONE_VMS: usize = 40;
/// Least part of the backend servers that ejections must leave.
const FLOOR: f64 = 0.7;

pub(super) struct Vm {
    pub detector: Box<dyn Detector>,
    pub balancer: Box<dyn Balancer>,
    pub region: usize,
    pub queue: VecDeque<u64>,
    pub retries: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    Arrive,
    Poll,
    Finish(AttemptId, bool),
    Refuse(AttemptId),
    Hedge(AttemptId),
    Expire(u64),
    Probed(usize, usize, bool),
}

/// A fleet of VMs and its backend servers in virtual time.
pub struct Fleet {
    pub(super) setup: Setup,
    pub(super) now: Uptime,
    pub(super) events: BinaryHeap<Reverse<(Uptime, u64, Event)>>,
    pub(super) count: u64,
    pub(super) arrivals: SmallRng,
    pub(super) rng: SmallRng,
    pub(super) ids: Vec<BackendId>,
    pub(super) fakes: Vec<FakeBackend>,
    pub(super) vms: Vec<Vm>,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    pub(super) next_request: u64,
    pub(super) next_attempt: AttemptId,
    /// Idle connections by VM and backend server.
    pub(super) idle: HashMap<(usize, usize), u32>,
    pub(super) silent: HashSet<(usize, usize)>,
    pub(super) clear_since: Option<Uptime>,
    pub(super) sent_new: bool,
    pub(super) retried: u64,
    pub(super) report: Report,
}

impl Fleet {
    /// Runs the setup to its end.
    pub fn run(setup: Setup) -> anyhow::Result<Report> {
        let mut fleet = Fleet::build(setup)?;
        fleet.at(Duration::ZERO, Event::Arrive);
        fleet.at(Duration::ZERO, Event::Poll);
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            if at > fleet.setup.length {
                break;
            }
            fleet.now = at;
            fleet.step(event);
        }
        fleet.report.extra = fleet.retried as f64 / fleet.next_request.max(1) as f64;
        Ok(fleet.report)
    }

    fn build(setup: Setup) -> anyhow::Result<Self> {
        let place = |region: usize, domain: usize| Place {
            region: format!("r{region}").into(),
            domain: format!("r{region}-{domain}").into(),
        };
        let half = setup.backends / 2;
        let limits = BackendLimits { slots: setup.slots, connections: 100 * setup.slots };
        let spec = |i: usize| BackendSpec {
            id: format!("b{i:02}").into(),
            address: ([127, 0, 0, 1], 1).into(),
            place: place(i / half.max(1), i % 2),
            limits,
            draining: false,
        };
        let specs: Vec<BackendSpec> = (0..setup.backends).map(spec).collect();
        let (name, balancer, count) = match setup.kind {
            Kind::Naive => ("naive", "naive", LONE_VMS),
            Kind::Chosen | Kind::Omniscient => ("evidence", "homes", 2),
        };
        let units = setup.backends - (FLOOR * setup.backends as f64).ceil() as usize;
        let mut vms = Vec::new();
        for i in 0..count {
            let region = i % 2;
            let place = place(region, 0);
            let context = ServiceContext {
                service: "s".into(),
                place: place.clone(),
                vms: count,
                min_healthy: FLOOR,
            };
            let mut detector = build_detector(name, &context)?;
            let mut balancer = build_balancer(balancer, &context)?;
            // A home has the backend servers of its region and a part of the units.
            let (mine, budget): (Vec<BackendSpec>, usize) = if setup.kind == Kind::Naive {
                (specs.clone(), units)
            } else {
                let mine = specs.iter().filter(|s| s.place.region == place.region).cloned();
                (mine.collect(), if region == 0 { units.div_ceil(2) } else { units / 2 })
            };
            detector.set_backends(Duration::ZERO, &mine);
            detector.set_ejection_budget(Duration::ZERO, budget);
            balancer.set_backends(Duration::ZERO, &mine, &place);
            vms.push(Vm { detector, balancer, region, queue: VecDeque::new(), retries: 10.0 });
        }
        Ok(Fleet {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            count: 0,
            arrivals: SmallRng::seed_from_u64(setup.seed),
            rng: SmallRng::seed_from_u64(setup.seed ^ 0x5eed),
            ids: specs.iter().map(|spec| spec.id.clone()).collect(),
            fakes: specs.iter().map(|_| FakeBackend::new(setup.slots as usize)).collect(),
            vms,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next_request: 0,
            next_attempt: 0,
            idle: HashMap::new(),
            silent: HashSet::new(),
            clear_since: None,
            sent_new: false,
            retried: 0,
            report: Report::default(),
            setup,
        })
    }

    pub(super) fn at(&mut self, at: Uptime, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Poll => self.poll(),
            Event::Finish(attempt, good) => {
                let outcome =
                    if good { AttemptOutcome::Success } else { AttemptOutcome::ServerError };
                self.finish(attempt, outcome);
            }
            Event::Refuse(attempt) => self.finish(attempt, AttemptOutcome::ConnectFailed),
            Event::Hedge(attempt) => {
                if let Some(request) = self.attempts.get(&attempt).map(|a| a.request) {
                    self.retry(request);
                }
            }
            Event::Expire(request) => self.close(request, AttemptOutcome::TimedOut),
            Event::Probed(vm, backend, healthy) => {
                let (backend, took) = (self.ids[backend].clone(), Duration::from_millis(25));
                let event = BackendEvent::Probed { backend, healthy, took };
                self.vms[vm].detector.observe(self.now, &event);
            }
        }
    }

    fn arrive(&mut self) {
        let peak = self.setup.peak;
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / peak;
        let accepted = self.arrivals.random::<f64>() * peak < (self.setup.rate)(self.now);
        let lone: usize = self.arrivals.random_range(0..LONE_VMS);
        let idempotent = self.arrivals.random_bool(0.8);
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrive);
        if !accepted {
            return;
        }
        let (id, vm) = (self.next_request, lone % self.vms.len());
        self.next_request += 1;
        let weight = if idempotent { 1.0 } else { 5.0 };
        let (flights, tried) = (Vec::new(), Vec::new());
        let request =
            Request { weight, idempotent, arrived: self.now, vm, sent: 0, flights, tried };
        if self.now >= self.setup.count_from && self.now + DEADLINE <= self.setup.length {
            self.report.asked += weight;
        }
        self.requests.insert(id, request);
        self.vms[vm].retries = (self.vms[vm].retries + RETRY_PART).min(10.0);
        self.at(self.now + DEADLINE, Event::Expire(id));
        if !self.vms[vm].queue.is_empty() || !self.dispatch(id) {
            self.vms[vm].queue.push_back(id);
        }
    }

    fn poll(&mut self) {
        self.at(self.now + Duration::from_millis(50), Event::Poll);
        let (now, tick) = (self.now, self.now.as_millis().is_multiple_of(1000));
        let last = now.saturating_sub(Duration::from_millis(50));
        if self.setup.script.colds.iter().any(|at| last < *at && *at <= now) {
            self.fakes.iter_mut().for_each(|fake| fake.served = 0);
        }
        for (at, vm, backend) in &self.setup.script.silences {
            if last < *at && *at <= now {
                self.silent.insert((*vm, *backend));
            }
        }
        for vm in 0..self.vms.len() {
            if tick {
                self.report_reach(vm);
            }
            for action in self.vms[vm].detector.poll(now, &mut self.rng) {
                self.act(vm, action);
            }
            self.drain(vm);
        }
        self.judge();
    }

    /// Another VM tells what it can reach.
    fn report_reach(&mut self, vm: usize) {
        for (i, id) in self.ids.iter().enumerate() {
            let fault = self.setup.script.fault(i, self.now);
            let reachable = fault != Some(Fault::Stall(1.0));
            let event = BackendEvent::PeerReachability { backend: id.clone(), reachable };
            self.vms[vm].detector.observe(self.now, &event);
        }
    }

    fn act(&mut self, vm: usize, action: DetectorAction) {
        let index = |id: &BackendId| self.ids.iter().position(|other| other == id).unwrap_or(0);
        match action {
            DetectorAction::Ejected { backend, .. } => {
                let gray = self.setup.script.fault(index(&backend), self.now).is_some();
                self.report.ejections += 1;
                self.report.false_ejections += u32::from(!gray);
            }
            DetectorAction::Suspected { backend, .. } => {
                let gray = self.setup.script.fault(index(&backend), self.now).is_some();
                self.report.false_suspicions += u32::from(!gray);
            }
            DetectorAction::Probe { backend } => {
                let backend = index(&backend);
                // Gray backend servers pass probes; a pause delays them and a partition stops them.
                let work = Duration::from_millis(27);
                let end = self.setup.script.finish(backend, self.now, work);
                if !self.setup.script.is_cut(vm, backend, end) {
                    self.at(end, Event::Probed(vm, backend, true));
                }
            }
            DetectorAction::DropConnection { attempt, .. } => {
                self.finish(attempt, AttemptOutcome::Reset);
            }
            DetectorAction::Restored { .. } => (),
        }
    }

    fn judge(&mut self) {
        let now = self.now;
        let out = |vm: &Vm, id: &BackendId| {
            matches!(
                vm.detector.health_status(now, id),
                HealthStatus::Ejected | HealthStatus::HalfOpen
            )
        };
        let ejected = match self.setup.kind {
            Kind::Omniscient => 0,
            _ => self.ids.iter().filter(|id| self.vms.iter().any(|vm| out(vm, id))).count(),
        };
        let units = self.ids.len() - (FLOOR * self.ids.len() as f64).ceil() as usize;
        self.report.below_floor += u32::from(ejected > units);
        let Some((gray, from, ..)) = self.setup.script.faults.first().copied() else { return };
        let takes = |vm: &Vm| {
            let standing = vm.detector.health_status(now, &self.ids[gray]);
            matches!(standing, HealthStatus::Healthy | HealthStatus::Ramping(_))
        };
        let taking = self.sent_new || self.vms.iter().any(takes);
        self.sent_new = false;
        if now < from || self.report.detected.is_some() {
            return;
        }
        if taking {
            self.clear_since = None;
            return;
        }
        let since = *self.clear_since.get_or_insert(now);
        if now - since >= LASTING {
            self.report.detected = Some(since - from);
        }
    }
}
