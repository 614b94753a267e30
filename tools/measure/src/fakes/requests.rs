use std::time::Duration;

use kernel::{
    AttemptId, AttemptOutcome, BackendEvent, BackendId, Detector, HealthStatus, PickRequest, Uptime,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fleet::{DEADLINE, Event, Fleet, Vm};
use super::{Fault, Kind, Setup};

/// Age at which an idempotent request is sent a second time.
const HEDGE: Duration = Duration::from_millis(600);
/// Time until a connection attempt fails.
const CONNECT: Duration = Duration::from_secs(1);
/// Way inside a region and between regions, there and back.
const WAYS: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(60));

pub(super) struct Request {
    pub weight: f64,
    pub idempotent: bool,
    pub arrived: Uptime,
    pub vm: usize,
    /// Attempts so far, and those on their way.
    pub sent: u64,
    pub flights: Vec<AttemptId>,
    pub tried: Vec<BackendId>,
}

pub(super) struct Attempt {
    pub request: u64,
    pub vm: usize,
    pub backend: usize,
    pub number: u64,
    /// False if no answer can come back.
    pub heard: bool,
}

impl Fleet {
    fn health_status(
        setup: &Setup,
        now: Uptime,
        detector: &dyn Detector,
        id: &str,
    ) -> HealthStatus {
        let backend = id[1..].parse().unwrap_or(usize::MAX);
        match (setup.kind, setup.script.fault(backend, now)) {
            (Kind::Omniscient, Some(_)) => HealthStatus::Ejected,
            (Kind::Omniscient, None) => HealthStatus::Healthy,
            _ => detector.health_status(now, id),
        }
    }

    /// Sends a request to a backend server; false if none may take it.
    pub(super) fn dispatch(&mut self, id: u64) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let home = request.vm;
        let others = if self.setup.kind == Kind::Naive { 0 } else { self.vms.len() - 1 };
        let count = self.vms.len();
        for vm in (0..=others).map(|i| (home + i) % count) {
            let (now, setup) = (self.now, &self.setup);
            let wanted = PickRequest { idempotent: request.idempotent, tried: &request.tried };
            let Vm { detector, balancer, .. } = &mut self.vms[vm];
            let standing = |id: &str| Fleet::health_status(setup, now, &**detector, id);
            if let Some(pick) = balancer.pick(now, &wanted, &standing, &mut self.rng) {
                let backend = self.ids.iter().position(|id| *id == pick.backend).unwrap_or(0);
                let first = self.setup.script.faults.first();
                if first.is_some_and(|f| f.0 == backend) && !pick.trial {
                    self.sent_new = true;
                    self.report.relapsed += u32::from(self.report.detected.is_some());
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
        let number = request.sent;
        request.sent += 1;
        request.flights.push(attempt);
        request.tried.push(self.ids[backend].clone());
        let hedged = request.idempotent && number == 0;
        let idle = self.idle.entry((vm, backend)).or_default();
        let reused = *idle > 0;
        *idle = idle.saturating_sub(1);
        let cut = self.setup.script.is_cut(vm, backend, self.now);
        let mute = reused && self.silent.remove(&(vm, backend));
        let heard = !cut && !mute;
        self.attempts.insert(attempt, Attempt { request: id, vm, backend, number, heard });
        if hedged {
            self.at(self.now + HEDGE, Event::Hedge(attempt));
        }
        if cut && !reused {
            self.at(self.now + CONNECT, Event::Refuse(attempt));
            return;
        }
        let sent = BackendEvent::Sent { backend: self.ids[backend].clone(), attempt, reused };
        self.vms[vm].detector.observe(self.now, &sent);
        match self.fakes[backend].take(attempt) {
            Some(true) => self.start(attempt),
            Some(false) => (),
            None => self.finish(attempt, AttemptOutcome::Shed),
        }
    }

    /// The backend server begins to run an attempt.
    fn start(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (backend, vm) = (attempt.backend, attempt.vm);
        // The same request has the same service time in every fleet.
        let seed = self.setup.seed.wrapping_mul(0x9e37_79b9).wrapping_add(attempt.request << 4);
        let mut rng = SmallRng::seed_from_u64(seed ^ attempt.number);
        let mut work = self.fakes[backend].draw_work(&mut rng);
        let mut good = true;
        match self.setup.script.fault(backend, self.now) {
            Some(Fault::Stall(part)) if rng.random::<f64>() < part => return,
            Some(Fault::Slow(factor)) => work = work.mul_f64(factor),
            Some(Fault::Fail(part)) => good = rng.random::<f64>() >= part,
            _ => (),
        }
        let done = self.setup.script.finish(backend, self.now, work);
        if self.setup.script.freezes(backend, self.now, done) {
            return;
        }
        let near = self.vms[vm].region == backend / (self.setup.backends / 2).max(1);
        let way = if near { WAYS.0 } else { WAYS.1 };
        if attempt.heard && !self.setup.script.is_cut(vm, backend, done + way) {
            self.at(done + way, Event::Finish(id, good));
        }
    }

    /// An attempt ends: its slots are freed and its request is answered or tried again.
    pub(super) fn finish(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        let Some(attempt) = self.end(id, outcome) else { return };
        match outcome {
            AttemptOutcome::Success => {
                let Some(request) = self.requests.get(&attempt.request) else { return };
                if request.arrived >= self.setup.count_from
                    && request.arrived + DEADLINE <= self.setup.length
                {
                    self.report.answered += request.weight;
                }
                *self.idle.entry((attempt.vm, attempt.backend)).or_default() += 1;
                self.close(attempt.request, AttemptOutcome::Cancelled);
            }
            AttemptOutcome::ServerError => {
                *self.idle.entry((attempt.vm, attempt.backend)).or_default() += 1;
                self.retry(attempt.request);
            }
            AttemptOutcome::Shed | AttemptOutcome::ConnectFailed => {
                // Nothing ran, so a retry needs no budget.
                if !self.dispatch(attempt.request) {
                    self.vms[attempt.vm].queue.push_front(attempt.request);
                }
            }
            _ => self.retry(attempt.request),
        }
        self.drain(attempt.vm);
    }

    fn end(&mut self, id: AttemptId, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let backend = self.ids[attempt.backend].clone();
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.flights.retain(|flight| *flight != id);
        }
        let vm = &mut self.vms[attempt.vm];
        vm.balancer.release(self.now, &backend);
        let ended = BackendEvent::Ended { backend, attempt: id, outcome, request_fault: false };
        vm.detector.observe(self.now, &ended);
        if let Some(next) = self.fakes[attempt.backend].end(id) {
            self.start(next);
        }
        Some(attempt)
    }

    /// A request is over; what is still on its way for it is given up.
    pub(super) fn close(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(request) = self.requests.remove(&id) else { return };
        for flight in request.flights {
            self.end(flight, outcome);
        }
        self.drain(request.vm);
    }

    pub(super) fn retry(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let vm = request.vm;
        if request.idempotent && self.vms[vm].retries >= 1.0 && self.dispatch(id) {
            self.vms[vm].retries -= 1.0;
            self.retried += 1;
        }
    }

    pub(super) fn drain(&mut self, vm: usize) {
        while let Some(id) = self.vms[vm].queue.front().copied() {
            if !self.dispatch(id) {
                break;
            }
            self.vms[vm].queue.pop_front();
        }
    }
}
