use std::time::Duration;

use kernel::{
    AttemptId, AttemptOutcome, BackendEvent, BackendId, Detector, HealthStatus, PickRequest, Uptime,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fleet::{DEADLINE, Event, FakeFleet, Vm};
use super::{Fault, FleetKind, Setup};

/// Age of an idempotent request at which a hedge is sent.
const HEDGE_DELAY: Duration = Duration::from_millis(600);
/// Time until a connection attempt fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Round-trip time inside a region.
const LOCAL_RTT: Duration = Duration::from_millis(2);
/// Round-trip time between regions.
const REMOTE_RTT: Duration = Duration::from_millis(60);

pub(super) struct Request {
    pub weight: f64,
    pub idempotent: bool,
    pub arrived: Uptime,
    pub vm: usize,
    /// Number of attempts so far.
    pub attempts: u64,
    /// Attempts in flight.
    pub in_flight: Vec<AttemptId>,
    pub tried: Vec<BackendId>,
}

pub(super) struct Attempt {
    pub request: u64,
    pub vm: usize,
    pub backend: usize,
    pub number: u64,
    /// Whether the response can reach the VM.
    pub response_arrives: bool,
}

impl FakeFleet {
    fn health_status(
        setup: &Setup,
        now: Uptime,
        detector: &dyn Detector,
        id: &str,
    ) -> HealthStatus {
        let backend = id[1..].parse().unwrap_or(usize::MAX);
        match (setup.kind, setup.schedule.fault(backend, now)) {
            (FleetKind::Omniscient, Some(_)) => HealthStatus::Ejected,
            (FleetKind::Omniscient, None) => HealthStatus::Healthy,
            _ => detector.health_status(now, id),
        }
    }

    /// Sends a request to a backend server; returns `false` if none may accept it.
    pub(super) fn dispatch(&mut self, id: u64) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let first_vm = request.vm;
        let other_vms = if self.setup.kind == FleetKind::Naive { 0 } else { self.vms.len() - 1 };
        let count = self.vms.len();
        for vm in (0..=other_vms).map(|i| (first_vm + i) % count) {
            let (now, setup) = (self.now, &self.setup);
            let pick_request =
                PickRequest { idempotent: request.idempotent, tried: &request.tried };
            let Vm { detector, balancer, .. } = &mut self.vms[vm];
            let status = |id: &str| FakeFleet::health_status(setup, now, &**detector, id);
            if let Some(pick) = balancer.pick(now, &pick_request, &status, &mut self.rng) {
                let backend = self.ids.iter().position(|id| *id == pick.backend).unwrap_or(0);
                let first_fault = self.setup.schedule.faults.first();
                if first_fault.is_some_and(|f| f.0 == backend) && !pick.trial {
                    self.sent_to_gray = true;
                    self.report.sent_after_detection +=
                        u32::from(self.report.detection_time.is_some());
                }
                self.send(id, vm, backend);
                return true;
            }
        }
        false
    }

    fn send(&mut self, id: u64, vm: usize, backend: usize) {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let number = request.attempts;
        request.attempts += 1;
        request.in_flight.push(attempt);
        request.tried.push(self.ids[backend].clone());
        let may_hedge = request.idempotent && number == 0;
        let idle_connections = self.idle_connections.entry((vm, backend)).or_default();
        let reused = *idle_connections > 0;
        *idle_connections = idle_connections.saturating_sub(1);
        let partitioned = self.setup.schedule.is_partitioned(vm, backend, self.now);
        let reaches_silent = reused && self.silenced.remove(&(vm, backend));
        let response_arrives = !partitioned && !reaches_silent;
        self.attempts
            .insert(attempt, Attempt { request: id, vm, backend, number, response_arrives });
        if may_hedge {
            self.schedule_event(self.now + HEDGE_DELAY, Event::Hedge(attempt));
        }
        if partitioned && !reused {
            self.schedule_event(self.now + CONNECT_TIMEOUT, Event::ConnectFailed(attempt));
            return;
        }
        let event = BackendEvent::Sent { backend: self.ids[backend].clone(), attempt, reused };
        self.vms[vm].detector.observe(self.now, &event);
        match self.fake_backends[backend].accept(attempt) {
            Some(true) => self.start_attempt(attempt),
            Some(false) => (),
            None => self.end_attempt(attempt, AttemptOutcome::Shed),
        }
    }

    /// Starts to run an attempt on its backend server.
    fn start_attempt(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (backend, vm) = (attempt.backend, attempt.vm);
        // A request has the same service time in every kind of fleet, so that they are comparable.
        let seed = self.setup.seed.wrapping_mul(0x9e37_79b9).wrapping_add(attempt.request << 4);
        let mut rng = SmallRng::seed_from_u64(seed ^ attempt.number);
        let mut service_time = self.fake_backends[backend].draw_service_time(&mut rng);
        let mut success = true;
        match self.setup.schedule.fault(backend, self.now) {
            Some(Fault::Stall(fraction)) if rng.random::<f64>() < fraction => return,
            Some(Fault::Slow(factor)) => service_time = service_time.mul_f64(factor),
            Some(Fault::Fail(fraction)) => success = rng.random::<f64>() >= fraction,
            _ => (),
        }
        let completed_at = self.setup.schedule.completion_time(backend, self.now, service_time);
        if self.setup.schedule.stalls_between(backend, self.now, completed_at) {
            return;
        }
        let same_region = self.vms[vm].region == backend / (self.setup.backends / 2).max(1);
        let rtt = if same_region { LOCAL_RTT } else { REMOTE_RTT };
        if attempt.response_arrives
            && !self.setup.schedule.is_partitioned(vm, backend, completed_at + rtt)
        {
            self.schedule_event(completed_at + rtt, Event::Completed(id, success));
        }
    }

    /// Ends an attempt: frees its slot, and answers or retries its request.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        let Some(attempt) = self.remove_attempt(id, outcome) else { return };
        match outcome {
            AttemptOutcome::Success => {
                let Some(request) = self.requests.get(&attempt.request) else { return };
                if request.arrived >= self.setup.counted_from
                    && request.arrived + DEADLINE <= self.setup.duration
                {
                    self.report.answered += request.weight;
                }
                *self.idle_connections.entry((attempt.vm, attempt.backend)).or_default() += 1;
                self.close_request(attempt.request, AttemptOutcome::Cancelled);
            }
            AttemptOutcome::ServerError => {
                *self.idle_connections.entry((attempt.vm, attempt.backend)).or_default() += 1;
                self.send_extra_attempt(attempt.request);
            }
            AttemptOutcome::Shed | AttemptOutcome::ConnectFailed => {
                // The request did not run, so sending it again uses no retry budget.
                if !self.dispatch(attempt.request) {
                    self.vms[attempt.vm].queue.push_front(attempt.request);
                }
            }
            _ => self.send_extra_attempt(attempt.request),
        }
        self.dispatch_queued(attempt.vm);
    }

    fn remove_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let backend = self.ids[attempt.backend].clone();
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.in_flight.retain(|other| *other != id);
        }
        let vm = &mut self.vms[attempt.vm];
        vm.balancer.release(self.now, &backend);
        let ended = BackendEvent::Ended { backend, attempt: id, outcome, request_fault: false };
        vm.detector.observe(self.now, &ended);
        if let Some(next) = self.fake_backends[attempt.backend].remove(id) {
            self.start_attempt(next);
        }
        Some(attempt)
    }

    /// Removes a request and cancels its attempts in flight.
    pub(super) fn close_request(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(request) = self.requests.remove(&id) else { return };
        for attempt in request.in_flight {
            self.remove_attempt(attempt, outcome);
        }
        self.dispatch_queued(request.vm);
    }

    pub(super) fn send_extra_attempt(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let vm = request.vm;
        if request.idempotent && self.vms[vm].retry_tokens >= 1.0 && self.dispatch(id) {
            self.vms[vm].retry_tokens -= 1.0;
            self.extra_attempts += 1;
        }
    }

    pub(super) fn dispatch_queued(&mut self, vm: usize) {
        while let Some(id) = self.vms[vm].queue.front().copied() {
            if !self.dispatch(id) {
                break;
            }
            self.vms[vm].queue.pop_front();
        }
    }
}
