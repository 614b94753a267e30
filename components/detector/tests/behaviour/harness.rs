//! Runs the detector in virtual time.

use std::time::Duration;

use kernel::{
    AttemptId, AttemptOutcome, BackendEvent, BackendLimits, BackendSpec, Detector, DetectorAction,
    HealthStatus, Place, Uptime,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Specifications of the backend servers `b0`, `b1` and so on of one service.
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

/// A detector with its clock and its actions. While `answer_probes` is set, each probe is answered
/// as healthy at once.
pub struct Harness {
    detector: detector::EvidenceDetector,
    rng: SmallRng,
    now: Uptime,
    last_attempt: AttemptId,
    backend_count: usize,
    /// Whether probes are answered.
    pub answer_probes: bool,
    /// All actions that the detector has returned.
    pub actions: Vec<DetectorAction>,
}

impl Harness {
    /// A service whose backend servers have answered 40 requests each in 50 ms.
    pub fn warm(backend_count: usize) -> Self {
        let rng = SmallRng::seed_from_u64(1);
        let (detector, now) = (detector::EvidenceDetector::default(), Uptime::ZERO);
        let (last_attempt, answer_probes, actions) = (0, true, Vec::new());
        let mut harness =
            Harness { detector, rng, now, last_attempt, backend_count, answer_probes, actions };
        harness.set_backends(backend_count);
        harness.set_ejection_budget(2);
        harness.serve_all(40, Duration::from_millis(50));
        harness
    }

    pub fn now(&self) -> Uptime {
        self.now
    }

    pub fn set_backends(&mut self, count: usize) {
        self.backend_count = count;
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

    /// Advances the clock by at least `millis` in steps of 50 ms and evaluates the detector at
    /// each.
    pub fn advance_ms(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(50) {
            self.now += Duration::from_millis(50);
            let actions = self.detector.poll(self.now, &mut self.rng);
            for action in &actions {
                if let (DetectorAction::Probe { backend }, true) = (action, self.answer_probes) {
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
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        self.observe(BackendEvent::Sent { backend: backend.into(), attempt, reused });
        attempt
    }

    pub fn end(&mut self, backend: &str, attempt: AttemptId, outcome: AttemptOutcome) {
        let backend = backend.into();
        self.observe(BackendEvent::Ended { backend, attempt, outcome, request_fault: false });
    }

    pub fn end_with_request_fault(&mut self, backend: &str, attempt: AttemptId) {
        let (backend, outcome) = (backend.into(), AttemptOutcome::Reset);
        self.observe(BackendEvent::Ended { backend, attempt, outcome, request_fault: true });
    }

    /// Sends one request that ends at once with `outcome`.
    pub fn fail(&mut self, backend: &str, outcome: AttemptOutcome) {
        let attempt = self.send(backend);
        self.end(backend, attempt, outcome);
        self.advance_ms(50);
    }

    /// Sends one request that succeeds after `took`.
    pub fn serve(&mut self, backend: &str, took: Duration) {
        let attempt = self.send(backend);
        self.advance_ms(took.as_millis() as u64);
        self.end(backend, attempt, AttemptOutcome::Success);
    }

    /// Sends `rounds` requests to each backend server, all of which succeed after `took`.
    pub fn serve_all(&mut self, rounds: usize, took: Duration) {
        for _ in 0..rounds {
            let sent: Vec<_> = (0..self.backend_count)
                .map(|i| format!("b{i}"))
                .map(|id| (self.send(&id), id))
                .collect();
            self.advance_ms(took.as_millis() as u64);
            for (attempt, id) in sent {
                self.end(&id, attempt, AttemptOutcome::Success);
            }
        }
    }
}
