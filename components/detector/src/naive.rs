use std::collections::BTreeMap;

use kernel::prelude::*;
use kernel::{AttemptOutcome, BackendEvent, Detector, DetectorAction, DetectorPlugin, EjectReason};
use rand::RngCore;

inventory::submit! {
    DetectorPlugin { name: "naive", build: |_| Box::new(Naive::default()) }
}

/// Failures in a row that eject.
const FAILURES: u32 = 5;
/// Time that an ejection lasts.
const EJECTION: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Member {
    draining: bool,
    /// Failures since the last success.
    failures: u32,
    /// When the oldest of these failures ended.
    since: Uptime,
    /// When the ejection began.
    ejected: Option<Uptime>,
}

/// Ejects after five failures in a row and restores after 30 s.
#[derive(Default)]
pub struct Naive {
    members: BTreeMap<BackendId, Member>,
    /// Ejections that this VM may hold. 0 before the first `set_ejection_budget`.
    budget: usize,
}

impl Detector for Naive {
    fn set_backends(&mut self, _now: Uptime, backends: &[BackendSpec]) {
        self.members.retain(|id, _| backends.iter().any(|spec| spec.id == *id));
        for spec in backends {
            self.members.entry(spec.id.clone()).or_default().draining = spec.draining;
        }
    }

    fn set_ejection_budget(&mut self, _now: Uptime, ejections: usize) {
        self.budget = ejections;
    }

    fn observe(&mut self, now: Uptime, event: &BackendEvent) {
        let BackendEvent::Ended { backend, outcome, .. } = event else { return };
        let Some(member) = self.members.get_mut(backend) else { return };
        match outcome {
            AttemptOutcome::Success => member.failures = 0,
            AttemptOutcome::Draining => member.draining = true,
            AttemptOutcome::Shed | AttemptOutcome::Cancelled => (),
            AttemptOutcome::ServerError
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset
            | AttemptOutcome::TimedOut => {
                if member.failures == 0 {
                    member.since = now;
                }
                member.failures += 1;
            }
        }
    }

    fn health_status(&self, _now: Uptime, backend: &str) -> HealthStatus {
        match self.members.get(backend) {
            None => HealthStatus::Draining,
            Some(member) if member.draining => HealthStatus::Draining,
            Some(member) if member.ejected.is_some() => HealthStatus::Ejected,
            Some(_) => HealthStatus::Healthy,
        }
    }

    fn poll(&mut self, now: Uptime, _rng: &mut dyn RngCore) -> Vec<DetectorAction> {
        let mut actions = Vec::new();
        let mut held = 0;
        for (id, member) in &mut self.members {
            let Some(at) = member.ejected else { continue };
            if now.saturating_sub(at) >= EJECTION || held >= self.budget {
                member.ejected = None;
                member.failures = 0;
                actions
                    .push(DetectorAction::Restored { backend: id.clone(), false_positive: false });
            } else {
                held += 1;
            }
        }
        for (id, member) in &mut self.members {
            let due = member.failures >= FAILURES && !member.draining;
            if due && member.ejected.is_none() && held < self.budget {
                member.ejected = Some(now);
                held += 1;
                actions.push(DetectorAction::Ejected {
                    backend: id.clone(),
                    reason: EjectReason::Failing,
                    evidence_age: now.saturating_sub(member.since),
                });
            }
        }
        actions
    }
}
