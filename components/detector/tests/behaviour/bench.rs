//! Drives the detector in virtual time.

use std::time::Duration;

use kernel::{
    AttemptId, AttemptOutcome, BackendEvent, BackendLimits, BackendSpec, Detector, DetectorAction,
    HealthStatus, Place, Uptime,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Backend servers `b0`, `b1` and so on of one service.
pub fn specs(count: usize) -> Vec<BackendSpec> {
    let place = Place { region: "r".into(), domain: "d".into() };
    let limits = BackendLimits { slots: 4, connections: 400 };
    let address = ([127, 0, 0, 1], 1).into();
    (0..count)
        .map(|i| {
            let id = format!("b{i}").into();
            BackendSpec { id, address, place: place.clone(), limits, draining: false }
        })
        .collect()
}

/// A detector, its clock and what it asked for. Probes are answered as healthy at once
/// while `open` is set.
pub struct Bench {
    detector: detector::Evidence,
    rng: SmallRng,
    now: Uptime,
    attempts: AttemptId,
    backends: usize,
    /// Whether probes are answered.
    pub open: bool,
    /// Everything the detector asked for.
    pub actions: Vec<DetectorAction>,
}

impl Bench {
    /// A service that has answered for a while in 50 ms.
    pub fn warm(backends: usize) -> Self {
        let rng = SmallRng::seed_from_u64(1);
        let (detector, now) = (detector::Evidence::default(), Uptime::ZERO);
        let (attempts, open, actions) = (0, true, Vec::new());
        let mut bench = Bench { detector, rng, now, attempts, backends, open, actions };
        bench.set_backends(backends);
        bench.set_ejection_budget(2);
        bench.serve_all(40, Duration::from_millis(50));
        bench
    }

    pub fn now(&self) -> Uptime {
        self.now
    }

    pub fn set_backends(&mut self, count: usize) {
        self.backends = count;
        self.detector.set_backends(self.now, &specs(count));
    }

    pub fn set_ejection_budget(&mut self, budget: usize) {
        self.detector.set_ejection_budget(self.now, budget);
    }

    pub fn observe(&mut self, event: BackendEvent) {
        self.detector.observe(self.now, &event);
    }

    pub fn health_status(&self, backend: &str) -> HealthStatus {
        self.detector.health_status(self.now, backend)
    }

    /// Lets time pass, in milliseconds.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(50) {
            self.now += Duration::from_millis(50);
            let actions = self.detector.poll(self.now, &mut self.rng);
            for action in &actions {
                if let (DetectorAction::Probe { backend }, true) = (action, self.open) {
                    let (backend, took) = (backend.clone(), Duration::from_millis(25));
                    self.observe(BackendEvent::Probed { backend, healthy: true, took });
                }
            }
            self.actions.extend(actions);
        }
    }

    pub fn send(&mut self, backend: &str) -> AttemptId {
        self.send_on(backend, false)
    }

    pub fn send_on(&mut self, backend: &str, reused: bool) -> AttemptId {
        self.attempts += 1;
        let attempt = self.attempts;
        self.observe(BackendEvent::Sent { backend: backend.into(), attempt, reused });
        attempt
    }

    pub fn end(&mut self, backend: &str, attempt: AttemptId, outcome: AttemptOutcome) {
        let backend = backend.into();
        self.observe(BackendEvent::Ended { backend, attempt, outcome, request_fault: false });
    }

    pub fn end_excused(&mut self, backend: &str, attempt: AttemptId) {
        let (backend, outcome) = (backend.into(), AttemptOutcome::Reset);
        self.observe(BackendEvent::Ended { backend, attempt, outcome, request_fault: true });
    }

    /// One request that fails at once.
    pub fn fail(&mut self, backend: &str, outcome: AttemptOutcome) {
        let attempt = self.send(backend);
        self.end(backend, attempt, outcome);
        self.run(50);
    }

    /// One request that succeeds.
    pub fn serve(&mut self, backend: &str, took: Duration) {
        let attempt = self.send(backend);
        self.run(took.as_millis() as u64);
        self.end(backend, attempt, AttemptOutcome::Success);
    }

    /// A number of requests to each backend server, all of the same length.
    pub fn serve_all(&mut self, rounds: usize, took: Duration) {
        for _ in 0..rounds {
            let sent: Vec<_> = (0..self.backends)
                .map(|i| format!("b{i}"))
                .map(|id| (self.send(&id), id))
                .collect();
            self.run(took.as_millis() as u64);
            for (attempt, id) in sent {
                self.end(&id, attempt, AttemptOutcome::Success);
            }
        }
    }
}
