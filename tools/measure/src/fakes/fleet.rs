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
use super::{FakeBackend, Fault, FleetKind, Report, Setup};

/// Deadline of a request, from its arrival.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);
/// Retries and hedges allowed for each request, on average.
const RETRY_RATIO: f64 = 0.05;
/// Time without new requests after which the backend server counts as detected.
const DETECTION_HOLD: Duration = Duration::from_secs(5);
/// Number of VMs of the naive fleet, in which every VM decides alone.
const NAIVE_VMS: usize = 40;
/// Minimum fraction of the backend servers that ejections must leave in use (the floor).
const MIN_AVAILABLE_FRACTION: f64 = 0.7;

pub(super) struct Vm {
    pub detector: Box<dyn Detector>,
    pub balancer: Box<dyn Balancer>,
    pub region: usize,
    pub queue: VecDeque<u64>,
    pub retry_tokens: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    Arrival,
    Poll,
    Completed(AttemptId, bool),
    ConnectFailed(AttemptId),
    Hedge(AttemptId),
    DeadlinePassed(u64),
    Probed(usize, usize, bool),
}

/// VMs and their backend servers in virtual time.
pub struct FakeFleet {
    pub(super) setup: Setup,
    pub(super) now: Uptime,
    pub(super) events: BinaryHeap<Reverse<(Uptime, u64, Event)>>,
    pub(super) event_count: u64,
    pub(super) arrivals: SmallRng,
    pub(super) rng: SmallRng,
    pub(super) ids: Vec<BackendId>,
    pub(super) fake_backends: Vec<FakeBackend>,
    pub(super) vms: Vec<Vm>,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    pub(super) next_request: u64,
    pub(super) next_attempt: AttemptId,
    /// Idle connections by VM and backend server.
    pub(super) idle_connections: HashMap<(usize, usize), u32>,
    pub(super) silenced: HashSet<(usize, usize)>,
    pub(super) unused_since: Option<Uptime>,
    pub(super) sent_to_gray: bool,
    pub(super) extra_attempts: u64,
    pub(super) report: Report,
}

impl FakeFleet {
    /// Simulates the run that a setup describes.
    pub fn run(setup: Setup) -> anyhow::Result<Report> {
        let mut fleet = FakeFleet::build(setup)?;
        fleet.schedule_event(Duration::ZERO, Event::Arrival);
        fleet.schedule_event(Duration::ZERO, Event::Poll);
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            if at > fleet.setup.duration {
                break;
            }
            fleet.now = at;
            fleet.handle(event);
        }
        fleet.report.extra_ratio = fleet.extra_attempts as f64 / fleet.next_request.max(1) as f64;
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
            FleetKind::Naive => ("naive", "naive", NAIVE_VMS),
            FleetKind::Chosen | FleetKind::Omniscient => ("evidence", "homes", 2),
        };
        let max_ejected =
            setup.backends - (MIN_AVAILABLE_FRACTION * setup.backends as f64).ceil() as usize;
        let mut vms = Vec::new();
        for i in 0..count {
            let region = i % 2;
            let place = place(region, 0);
            let context = ServiceContext {
                service: "s".into(),
                place: place.clone(),
                vms: count,
                min_healthy: MIN_AVAILABLE_FRACTION,
            };
            let mut detector = build_detector(name, &context)?;
            let mut balancer = build_balancer(balancer, &context)?;
            // A home uses the backend servers of its region and a share of the ejection budget.
            let (region_backends, budget): (Vec<BackendSpec>, usize) =
                if setup.kind == FleetKind::Naive {
                    (specs.clone(), max_ejected)
                } else {
                    let region_backends =
                        specs.iter().filter(|s| s.place.region == place.region).cloned();
                    (
                        region_backends.collect(),
                        if region == 0 { max_ejected.div_ceil(2) } else { max_ejected / 2 },
                    )
                };
            detector.set_backends(Duration::ZERO, &region_backends);
            detector.set_ejection_budget(Duration::ZERO, budget);
            balancer.set_backends(Duration::ZERO, &region_backends, &place);
            vms.push(Vm { detector, balancer, region, queue: VecDeque::new(), retry_tokens: 10.0 });
        }
        Ok(FakeFleet {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            arrivals: SmallRng::seed_from_u64(setup.seed),
            rng: SmallRng::seed_from_u64(setup.seed ^ 0x5eed),
            ids: specs.iter().map(|spec| spec.id.clone()).collect(),
            fake_backends: specs.iter().map(|_| FakeBackend::new(setup.slots as usize)).collect(),
            vms,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next_request: 0,
            next_attempt: 0,
            idle_connections: HashMap::new(),
            silenced: HashSet::new(),
            unused_since: None,
            sent_to_gray: false,
            extra_attempts: 0,
            report: Report::default(),
            setup,
        })
    }

    pub(super) fn schedule_event(&mut self, at: Uptime, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Poll => self.poll(),
            Event::Completed(attempt, success) => {
                let outcome =
                    if success { AttemptOutcome::Success } else { AttemptOutcome::ServerError };
                self.end_attempt(attempt, outcome);
            }
            Event::ConnectFailed(attempt) => {
                self.end_attempt(attempt, AttemptOutcome::ConnectFailed)
            }
            Event::Hedge(attempt) => {
                if let Some(request) = self.attempts.get(&attempt).map(|a| a.request) {
                    self.send_extra_attempt(request);
                }
            }
            Event::DeadlinePassed(request) => self.close_request(request, AttemptOutcome::TimedOut),
            Event::Probed(vm, backend, healthy) => {
                let (backend, took) = (self.ids[backend].clone(), Duration::from_millis(25));
                let event = BackendEvent::Probed { backend, healthy, took };
                self.vms[vm].detector.observe(self.now, &event);
            }
        }
    }

    fn arrive(&mut self) {
        let max_rate = self.setup.max_rate;
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / max_rate;
        let accepted = self.arrivals.random::<f64>() * max_rate < (self.setup.rate)(self.now);
        let vm_draw: usize = self.arrivals.random_range(0..NAIVE_VMS);
        let idempotent = self.arrivals.random_bool(0.8);
        self.schedule_event(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        if !accepted {
            return;
        }
        let (id, vm) = (self.next_request, vm_draw % self.vms.len());
        self.next_request += 1;
        let weight = if idempotent { 1.0 } else { 5.0 };
        let (in_flight, tried) = (Vec::new(), Vec::new());
        let request =
            Request { weight, idempotent, arrived: self.now, vm, attempts: 0, in_flight, tried };
        if self.now >= self.setup.counted_from && self.now + DEADLINE <= self.setup.duration {
            self.report.offered += weight;
        }
        self.requests.insert(id, request);
        self.vms[vm].retry_tokens = (self.vms[vm].retry_tokens + RETRY_RATIO).min(10.0);
        self.schedule_event(self.now + DEADLINE, Event::DeadlinePassed(id));
        if !self.vms[vm].queue.is_empty() || !self.dispatch(id) {
            self.vms[vm].queue.push_back(id);
        }
    }

    fn poll(&mut self) {
        self.schedule_event(self.now + Duration::from_millis(50), Event::Poll);
        let (now, full_second) = (self.now, self.now.as_millis().is_multiple_of(1000));
        let last_poll = now.saturating_sub(Duration::from_millis(50));
        if self.setup.schedule.cold_starts.iter().any(|at| last_poll < *at && *at <= now) {
            self.fake_backends.iter_mut().for_each(|fake| fake.served = 0);
        }
        for (at, vm, backend) in &self.setup.schedule.silent_connections {
            if last_poll < *at && *at <= now {
                self.silenced.insert((*vm, *backend));
            }
        }
        for vm in 0..self.vms.len() {
            if full_second {
                self.report_reachability(vm);
            }
            for action in self.vms[vm].detector.poll(now, &mut self.rng) {
                self.act(vm, action);
            }
            self.dispatch_queued(vm);
        }
        self.check_detection();
    }

    /// Reports to a VM which backend servers another VM can reach.
    fn report_reachability(&mut self, vm: usize) {
        for (i, id) in self.ids.iter().enumerate() {
            let fault = self.setup.schedule.fault(i, self.now);
            let reachable = fault != Some(Fault::Stall(1.0));
            let event = BackendEvent::PeerReachability { backend: id.clone(), reachable };
            self.vms[vm].detector.observe(self.now, &event);
        }
    }

    fn act(&mut self, vm: usize, action: DetectorAction) {
        let index = |id: &BackendId| self.ids.iter().position(|other| other == id).unwrap_or(0);
        match action {
            DetectorAction::Ejected { backend, .. } => {
                let gray = self.setup.schedule.fault(index(&backend), self.now).is_some();
                self.report.ejections += 1;
                self.report.false_ejections += u32::from(!gray);
            }
            DetectorAction::Suspected { backend, .. } => {
                let gray = self.setup.schedule.fault(index(&backend), self.now).is_some();
                self.report.false_suspicions += u32::from(!gray);
            }
            DetectorAction::Probe { backend } => {
                let backend = index(&backend);
                // Gray backend servers pass probes; a pause delays them and a partition stops them.
                let probe_time = Duration::from_millis(27);
                let end = self.setup.schedule.completion_time(backend, self.now, probe_time);
                if !self.setup.schedule.is_partitioned(vm, backend, end) {
                    self.schedule_event(end, Event::Probed(vm, backend, true));
                }
            }
            DetectorAction::DropConnection { attempt, .. } => {
                self.end_attempt(attempt, AttemptOutcome::Reset);
            }
            DetectorAction::Restored { .. } => (),
        }
    }

    fn check_detection(&mut self) {
        let now = self.now;
        let is_ejected = |vm: &Vm, id: &BackendId| {
            matches!(
                vm.detector.health_status(now, id),
                HealthStatus::Ejected | HealthStatus::HalfOpen
            )
        };
        let ejected = match self.setup.kind {
            FleetKind::Omniscient => 0,
            _ => self.ids.iter().filter(|id| self.vms.iter().any(|vm| is_ejected(vm, id))).count(),
        };
        let max_ejected =
            self.ids.len() - (MIN_AVAILABLE_FRACTION * self.ids.len() as f64).ceil() as usize;
        self.report.below_floor += u32::from(ejected > max_ejected);
        let Some((gray, from, ..)) = self.setup.schedule.faults.first().copied() else { return };
        let accepts_requests = |vm: &Vm| {
            let status = vm.detector.health_status(now, &self.ids[gray]);
            matches!(status, HealthStatus::Healthy | HealthStatus::Ramping(_))
        };
        let in_use = self.sent_to_gray || self.vms.iter().any(accepts_requests);
        self.sent_to_gray = false;
        if now < from || self.report.detection_time.is_some() {
            return;
        }
        if in_use {
            self.unused_since = None;
            return;
        }
        let since = *self.unused_since.get_or_insert(now);
        if now - since >= DETECTION_HOLD {
            self.report.detection_time = Some(since - from);
        }
    }
}
