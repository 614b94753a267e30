use std::collections::{BTreeMap, HashMap};

use kernel::prelude::*;
use kernel::{AttemptId, BackendEvent, Detector, DetectorAction, DetectorPlugin};
use rand::RngCore;

use crate::evaluate;
use crate::state::State;
use crate::stats::{LatencyEwma, median};
use crate::tracker::BackendTracker;

inventory::submit! {
    DetectorPlugin { name: "evidence", build: |_| Box::new(EvidenceDetector::default()) }
}

/// Smoothing factor of the service's long-term mean: about the last thousand responses.
const SERVICE_ALPHA: f64 = 0.002;
/// Responses of the service before its long-term mean is used.
const MIN_SERVICE_SAMPLES: u32 = 20;
/// Responses of a backend server before its recent mean enters the service's baseline.
const MIN_RECENT_SAMPLES: u32 = 5;
/// Age at which a recent mean no longer enters the service's baseline.
const RECENT_MAX_AGE: Duration = Duration::from_secs(30);
/// Smoothing factor of the variance.
const VARIANCE_ALPHA: f64 = 0.005;
/// Standard deviation of ln(latency) before any is measured, and the bounds of the measured one. A
/// lower minimum would turn every small delay of a regular service into an outlier.
const INITIAL_STDDEV: f64 = 0.7;
const MIN_STDDEV: f64 = 0.4;
const MAX_STDDEV: f64 = 1.2;

/// Detector that compares each backend server's real requests with the service's other backend
/// servers and with its own history.
pub struct EvidenceDetector {
    /// Per-backend trackers.
    pub(crate) trackers: BTreeMap<BackendId, BackendTracker>,
    /// Maximum ejections that this VM may hold; 0 before the first `set_ejection_budget`.
    pub(crate) budget: usize,
    /// When the last probe was sent.
    pub(crate) last_probe: Option<Uptime>,
    /// Backend server of each attempt in flight.
    attempts: HashMap<AttemptId, BackendId>,
    /// Long-term mean latency of the whole service.
    service_latency: LatencyEwma,
    /// Mean squared deviation of ln(latency) from the long-term mean.
    variance: f64,
    /// True after the first `set_backends`: backend servers that are added later start with a ramp.
    initialized: bool,
}

impl Default for EvidenceDetector {
    fn default() -> Self {
        EvidenceDetector {
            trackers: BTreeMap::new(),
            budget: 0,
            last_probe: None,
            attempts: HashMap::new(),
            service_latency: LatencyEwma::new(SERVICE_ALPHA),
            variance: INITIAL_STDDEV * INITIAL_STDDEV,
            initialized: false,
        }
    }
}

impl EvidenceDetector {
    /// Recomputes the service's baseline and passes it to every backend server.
    pub(crate) fn update_baselines(&mut self, now: Uptime) {
        let stddev = self.variance.sqrt().clamp(MIN_STDDEV, MAX_STDDEV);
        // ln(1 s) = 0: one second is the assumed latency until there are enough samples.
        let long_term =
            self.service_latency.mean(now, MIN_SERVICE_SAMPLES, Duration::MAX).unwrap_or(0.0);
        let recent_mean = |tracker: &BackendTracker| {
            let is_eligible = tracker.state.accepts_requests() && !tracker.suspect;
            tracker
                .recent_latency
                .mean(now, MIN_RECENT_SAMPLES, RECENT_MAX_AGE)
                .filter(|_| is_eligible)
        };
        let recently_cold =
            self.trackers.values().filter(|tracker| tracker.is_recently_cold()).count();
        let means: Vec<f64> = self.trackers.values().filter_map(recent_mean).collect();
        // With two backend servers, the median would be the slower one.
        let enough_peers = means.len() >= 3;
        let peer_median = if enough_peers { median(means).unwrap_or(long_term) } else { long_term };
        let peers_cold = enough_peers && recently_cold * 2 > self.trackers.len();
        for tracker in self.trackers.values_mut() {
            tracker.set_baseline(now, peer_median.max(long_term), stddev, peers_cold);
        }
    }

    fn record_latency(&mut self, now: Uptime, sample: f64) {
        let mean = self.service_latency.mean(now, MIN_SERVICE_SAMPLES, Duration::MAX);
        self.service_latency.add(now, sample);
        let Some(mean) = mean else { return };
        // Outliers are clipped, or a single gray backend server would widen the deviation and hide
        // itself.
        let limit = 3.0 * self.variance.sqrt();
        let deviation = (sample - mean).clamp(-limit, limit);
        self.variance += VARIANCE_ALPHA * (deviation * deviation - self.variance);
    }
}

impl Detector for EvidenceDetector {
    fn set_backends(&mut self, now: Uptime, backends: &[BackendSpec]) {
        self.trackers.retain(|id, _| backends.iter().any(|spec| spec.id == *id));
        self.attempts.retain(|_, id| self.trackers.contains_key(id));
        for spec in backends {
            let state = if self.initialized {
                State::Ramp { since: now, holds_unit: false }
            } else {
                State::Active
            };
            let tracker = self
                .trackers
                .entry(spec.id.clone())
                .or_insert_with(|| BackendTracker::new(now, state));
            if spec.draining && !tracker.spec_draining {
                tracker.mark_draining(now);
            } else if !spec.draining && tracker.spec_draining {
                tracker.start_cold(now);
            }
            tracker.spec_draining = spec.draining;
        }
        self.initialized = true;
    }

    fn set_ejection_budget(&mut self, _now: Uptime, ejections: usize) {
        self.budget = ejections;
    }

    fn observe(&mut self, now: Uptime, event: &BackendEvent) {
        match event {
            BackendEvent::Sent { backend, attempt, reused } => {
                if let Some(tracker) = self.trackers.get_mut(backend) {
                    tracker.record_send(now, *attempt, *reused);
                    self.attempts.insert(*attempt, backend.clone());
                }
            }
            BackendEvent::HeadReceived { attempt } => {
                let tracker = self.attempts.get(attempt).and_then(|id| self.trackers.get_mut(id));
                if let Some(request) =
                    tracker.and_then(|tracker| tracker.in_flight.get_mut(attempt))
                {
                    request.responded_at.get_or_insert(now);
                }
            }
            BackendEvent::Ended { backend, attempt, outcome, request_fault } => {
                self.attempts.remove(attempt);
                let Some(tracker) = self.trackers.get_mut(backend) else { return };
                let sample = tracker.record_end(now, *attempt, *outcome, *request_fault);
                if let Some(sample) = sample {
                    self.record_latency(now, sample);
                }
            }
            BackendEvent::Probed { backend, healthy, .. } => {
                if let Some(tracker) = self.trackers.get_mut(backend) {
                    evaluate::finish_probe(tracker, now, *healthy);
                }
            }
            BackendEvent::LoadReported { backend, load } => {
                if let Some(tracker) = self.trackers.get_mut(backend) {
                    if load.draining {
                        tracker.mark_draining(now)
                    } else {
                        tracker.clear_draining(now)
                    }
                }
            }
            BackendEvent::PeerReachability { backend, reachable } => {
                if let Some(tracker) = self.trackers.get_mut(backend) {
                    tracker.peer_reached = reachable.then_some(now);
                }
            }
        }
    }

    fn health_status(&self, now: Uptime, backend: &str) -> HealthStatus {
        self.trackers
            .get(backend)
            .map_or(HealthStatus::Draining, |tracker| tracker.health_status(now))
    }

    fn poll(&mut self, now: Uptime, rng: &mut dyn RngCore) -> Vec<DetectorAction> {
        self.update_baselines(now);
        evaluate::evaluate(self, now, rng)
    }
}
