use std::collections::BTreeMap;

use kernel::prelude::*;
use kernel::{AttemptOutcome, BackendEvent, Detector, DetectorAction, DetectorPlugin, EjectReason};
use rand::RngCore;

inventory::submit! {
    DetectorPlugin { name: "naive", build: |_| Box::new(NaiveDetector::default()) }
}

/// Consecutive failures that lead to an ejection.
const FAILURE_THRESHOLD: u32 = 5;
/// Duration of an ejection.
const EJECTION_DURATION: Duration = Duration::from_secs(30);

#[derive(Default)]
struct BackendStatus {
    draining: bool,
    /// Failures since the last success.
    failures: u32,
    /// When the first of these failures ended.
    since: Uptime,
    /// Start of the ejection.
    ejected: Option<Uptime>,
}

/// Baseline detector: ejects after five consecutive failures and restores after 30 s.
#[derive(Default)]
pub struct NaiveDetector {
    statuses: BTreeMap<BackendId, BackendStatus>,
    /// Maximum ejections that this VM may hold; 0 before the first `set_ejection_budget`.
    budget: usize,
}

impl Detector for NaiveDetector {
    fn set_backends(&mut self, _now: Uptime, backends: &[BackendSpec]) {
        self.statuses.retain(|id, _| backends.iter().any(|spec| spec.id == *id));
        for spec in backends {
            self.statuses.entry(spec.id.clone()).or_default().draining = spec.draining;
        }
    }

    fn set_ejection_budget(&mut self, _now: Uptime, ejections: usize) {
        self.budget = ejections;
    }

    fn observe(&mut self, now: Uptime, event: &BackendEvent) {
        let BackendEvent::Ended { backend, outcome, .. } = event else { return };
        let Some(status) = self.statuses.get_mut(backend) else { return };
        match outcome {
            AttemptOutcome::Success => status.failures = 0,
            AttemptOutcome::Draining => status.draining = true,
            AttemptOutcome::Shed | AttemptOutcome::Cancelled => (),
            AttemptOutcome::ServerError
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset
            | AttemptOutcome::TimedOut => {
                if status.failures == 0 {
                    status.since = now;
                }
                status.failures += 1;
            }
        }
    }

    fn health_status(&self, _now: Uptime, backend: &str) -> HealthStatus {
        match self.statuses.get(backend) {
            None => HealthStatus::Draining,
            Some(status) if status.draining => HealthStatus::Draining,
            Some(status) if status.ejected.is_some() => HealthStatus::Ejected,
            Some(_) => HealthStatus::Healthy,
        }
    }

    fn poll(&mut self, now: Uptime, _rng: &mut dyn RngCore) -> Vec<DetectorAction> {
        let mut actions = Vec::new();
        let mut active_ejections = 0;
        for (id, status) in &mut self.statuses {
            let Some(at) = status.ejected else { continue };
            if now.saturating_sub(at) >= EJECTION_DURATION || active_ejections >= self.budget {
                status.ejected = None;
                status.failures = 0;
                actions
                    .push(DetectorAction::Restored { backend: id.clone(), false_positive: false });
            } else {
                active_ejections += 1;
            }
        }
        for (id, status) in &mut self.statuses {
            let due = status.failures >= FAILURE_THRESHOLD && !status.draining;
            if due && status.ejected.is_none() && active_ejections < self.budget {
                status.ejected = Some(now);
                active_ejections += 1;
                actions.push(DetectorAction::Ejected {
                    backend: id.clone(),
                    reason: EjectReason::Failing,
                    evidence_age: now.saturating_sub(status.since),
                });
            }
        }
        actions
    }
}
