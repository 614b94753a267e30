use std::collections::{BTreeMap, HashMap};

use kernel::prelude::*;
use kernel::{AttemptId, BackendEvent, Detector, DetectorAction, DetectorPlugin};
use rand::RngCore;

use crate::baseline::{Baseline, median};
use crate::judge;
use crate::state::State;
use crate::track::Track;

inventory::submit! {
    DetectorPlugin { name: "evidence", build: |_| Box::new(Evidence::default()) }
}

/// Weight of a new latency in the service's long baseline: about the last thousand answers.
const SERVICE_PACE: f64 = 0.002;
/// Answers before the service's latencies are known.
const KNOWN: u32 = 20;
/// Answers of a backend server before its recent mean counts for the service.
const RECENT_KNOWN: u32 = 5;
/// Age at which a recent mean no longer counts for the service.
const RECENT_AGE: Duration = Duration::from_secs(30);
/// Weight of a new deviation in the spread.
const SPREAD_PACE: f64 = 0.005;
/// Deviation of the logarithms of latencies before it is known, and its bounds. A narrower one
/// would make every hiccup of a regular service an outlier.
const SPREAD: f64 = 0.7;
const SPREAD_RANGE: (f64, f64) = (0.4, 1.2);

/// Detector that weighs evidence from real requests against the service's other backend servers
/// and each one's own past.
pub struct Evidence {
    /// Evidence by backend server.
    pub(crate) tracks: BTreeMap<BackendId, Track>,
    /// Units that this VM may use. 0 before the first `set_ejection_budget`.
    pub(crate) budget: usize,
    /// When the last probe was sent.
    pub(crate) last_probe: Option<Uptime>,
    /// Backend servers of the attempts on their way.
    attempts: HashMap<AttemptId, BackendId>,
    /// Latencies of the whole service.
    service: Baseline,
    /// Mean square deviation of the logarithms of latencies.
    variance: f64,
    /// True after the first set of backend servers.
    started: bool,
}

impl Default for Evidence {
    fn default() -> Self {
        Evidence {
            tracks: BTreeMap::new(),
            budget: 0,
            last_probe: None,
            attempts: HashMap::new(),
            service: Baseline::new(SERVICE_PACE),
            variance: SPREAD * SPREAD,
            started: false,
        }
    }
}

impl Evidence {
    /// Computes the baseline of the service anew and hands it to every backend server.
    pub(crate) fn refresh_baseline(&mut self, now: Uptime) {
        let (low, high) = SPREAD_RANGE;
        let spread = self.variance.sqrt().clamp(low, high);
        // Until the service is known, a second is taken for an ordinary latency.
        let long = self.service.mean(now, KNOWN, Duration::MAX).unwrap_or(0.0);
        let recent = |track: &Track| {
            let counts = track.state.takes_work() && !track.suspect;
            track.recent.mean(now, RECENT_KNOWN, RECENT_AGE).filter(|_| counts)
        };
        let fresh = self.tracks.values().filter(|track| track.is_fresh()).count();
        let means: Vec<f64> = self.tracks.values().filter_map(recent).collect();
        // The median of two backend servers would be the slower one.
        let known = means.len() >= 3;
        let peers = if known { median(means).unwrap_or(long) } else { long };
        let together = known && fresh * 2 > self.tracks.len();
        for track in self.tracks.values_mut() {
            track.set_baseline(now, peers.max(long), spread, together);
        }
    }

    fn learn(&mut self, now: Uptime, sample: f64) {
        let mean = self.service.mean(now, KNOWN, Duration::MAX);
        self.service.add(now, sample);
        let Some(mean) = mean else { return };
        // Outliers are clipped, or one gray backend server would hide itself.
        let limit = 3.0 * self.variance.sqrt();
        let deviation = (sample - mean).clamp(-limit, limit);
        self.variance += SPREAD_PACE * (deviation * deviation - self.variance);
    }
}

impl Detector for Evidence {
    fn set_backends(&mut self, now: Uptime, backends: &[BackendSpec]) {
        self.tracks.retain(|id, _| backends.iter().any(|spec| spec.id == *id));
        self.attempts.retain(|_, id| self.tracks.contains_key(id));
        for spec in backends {
            let state =
                if self.started { State::Ramp { since: now, held: false } } else { State::Taking };
            let track =
                self.tracks.entry(spec.id.clone()).or_insert_with(|| Track::new(now, state));
            if spec.draining && !track.spec_draining {
                track.drain(now);
            } else if !spec.draining && track.spec_draining {
                track.start_cold(now);
            }
            track.spec_draining = spec.draining;
        }
        self.started = true;
    }

    fn set_ejection_budget(&mut self, _now: Uptime, ejections: usize) {
        self.budget = ejections;
    }

    fn observe(&mut self, now: Uptime, event: &BackendEvent) {
        match event {
            BackendEvent::Sent { backend, attempt, reused } => {
                if let Some(track) = self.tracks.get_mut(backend) {
                    track.send(now, *attempt, *reused);
                    self.attempts.insert(*attempt, backend.clone());
                }
            }
            BackendEvent::HeadReceived { attempt } => {
                let track = self.attempts.get(attempt).and_then(|id| self.tracks.get_mut(id));
                if let Some(flight) = track.and_then(|track| track.flights.get_mut(attempt)) {
                    flight.answered.get_or_insert(now);
                }
            }
            BackendEvent::Ended { backend, attempt, outcome, request_fault } => {
                self.attempts.remove(attempt);
                let Some(track) = self.tracks.get_mut(backend) else { return };
                let sample = track.end(now, *attempt, *outcome, *request_fault);
                if let Some(sample) = sample {
                    self.learn(now, sample);
                }
            }
            BackendEvent::Probed { backend, healthy, .. } => {
                if let Some(track) = self.tracks.get_mut(backend) {
                    judge::end_probe(track, now, *healthy);
                }
            }
            BackendEvent::LoadReported { backend, load } => {
                if let Some(track) = self.tracks.get_mut(backend) {
                    if load.draining { track.drain(now) } else { track.undrain(now) }
                }
            }
            BackendEvent::PeerReachability { backend, reachable } => {
                if let Some(track) = self.tracks.get_mut(backend) {
                    track.peer_reached = reachable.then_some(now);
                }
            }
        }
    }

    fn health_status(&self, now: Uptime, backend: &str) -> HealthStatus {
        self.tracks.get(backend).map_or(HealthStatus::Draining, |track| track.health_status(now))
    }

    fn poll(&mut self, now: Uptime, rng: &mut dyn RngCore) -> Vec<DetectorAction> {
        self.refresh_baseline(now);
        judge::judge(self, now, rng)
    }
}
