use std::collections::BTreeMap;

use kernel::prelude::*;
use kernel::{Balancer, BalancerPlugin, Pick, PickRequest};
use rand::RngCore;

use crate::tracked_backend::TrackedBackend;

inventory::submit! {
    BalancerPlugin { name: "homes", build: |_| Box::new(HomeBalancer::default()) }
}

/// Trial tokens added per pick. A trial may delay the caller's response, so at most a tenth of the
/// requests are trials.
const TRIALS_PER_PICK: f64 = 0.1;
/// Capacity of the token bucket for trials.
const MAX_TRIAL_TOKENS: f64 = 2.0;
/// Time without a request after which a backend server is preferred. An idle backend server
/// provides no evidence about its health, so a stall would go unnoticed until a load peak needs it.
const MAX_IDLE_TIME: Duration = Duration::from_millis(400);
/// Minimum interval between two trials on the same suspect backend server.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Balancer for the home of a service, which schedules all requests of the service in its region
/// and therefore counts all slots in use.
#[derive(Default)]
pub struct HomeBalancer {
    /// Backend servers by id. Removed ones are kept until their slots are free.
    backends: BTreeMap<BackendId, TrackedBackend>,
    /// Region and failure domain of this VM; `None` before the first `set_backends`.
    local: Option<Place>,
    /// Number of calls of `pick` so far.
    pick_count: u64,
    /// Token bucket for trials, in [0, MAX_TRIAL_TOKENS]. A trial costs one token.
    trial_tokens: f64,
}

impl HomeBalancer {
    /// Returns the backend server that is due for a trial and has waited longest for one.
    fn find_trial(
        &self,
        now: Uptime,
        request: &PickRequest<'_>,
        health: &dyn Fn(&str) -> HealthStatus,
    ) -> Option<BackendId> {
        // Retries are not used as trials: they go to a backend server that is known to work.
        if !request.idempotent || !request.tried.is_empty() || self.trial_tokens < 1.0 {
            return None;
        }
        let due = |tracked: &TrackedBackend| match health(&tracked.spec.id) {
            HealthStatus::HalfOpen => tracked.slots_used == 0,
            HealthStatus::Suspect => {
                tracked.slots_used < tracked.spec.limits.slots
                    && !tracked.in_trial
                    && tracked
                        .last_trial
                        .is_none_or(|at| now.saturating_sub(at) >= MIN_TRIAL_INTERVAL)
            }
            _ => false,
        };
        self.backends
            .values()
            .filter(|tracked| tracked.configured && due(tracked))
            .min_by_key(|tracked| (tracked.last_trial, tracked.last_pick))
            .map(|tracked| tracked.spec.id.clone())
    }

    /// Returns the priority tier of a backend server. The lowest tier with a free slot is used.
    fn tier(&self, now: Uptime, tracked: &TrackedBackend, health: HealthStatus) -> Option<u8> {
        let local = self.local.as_ref()?;
        let place = &tracked.spec.place;
        match health {
            HealthStatus::Healthy | HealthStatus::Ramping(_) if place.region != local.region => {
                Some(3)
            }
            HealthStatus::Healthy | HealthStatus::Ramping(_) => {
                if tracked.last_used.is_none_or(|at| now.saturating_sub(at) >= MAX_IDLE_TIME) {
                    return Some(0);
                }
                // Up to half of its slots (500 of 1000), a backend server in the VM's own failure
                // domain is preferred over those in other domains.
                let prefer_local =
                    place.domain == local.domain && tracked.load_after_pick(health)? <= 500;
                Some(if prefer_local { 1 } else { 2 })
            }
            HealthStatus::Suspect => Some(4),
            _ => None,
        }
    }
}

impl Balancer for HomeBalancer {
    fn set_backends(&mut self, _now: Uptime, backends: &[BackendSpec], local: &Place) {
        self.local = Some(local.clone());
        for tracked in self.backends.values_mut() {
            tracked.configured = false;
        }
        for spec in backends {
            match self.backends.get_mut(&spec.id) {
                Some(tracked) => {
                    tracked.configured = true;
                    tracked.spec = spec.clone();
                }
                None => {
                    self.backends.insert(spec.id.clone(), TrackedBackend::new(spec.clone()));
                }
            }
        }
        self.backends.retain(|_, tracked| tracked.configured || tracked.slots_used > 0);
    }

    fn pick(
        &mut self,
        now: Uptime,
        request: &PickRequest<'_>,
        health: &dyn Fn(&str) -> HealthStatus,
        _rng: &mut dyn RngCore,
    ) -> Option<Pick> {
        self.pick_count += 1;
        self.trial_tokens = (self.trial_tokens + TRIALS_PER_PICK).min(MAX_TRIAL_TOKENS);
        if let Some(id) = self.find_trial(now, request, health) {
            self.trial_tokens -= 1.0;
            let tracked = self.backends.get_mut(&id)?;
            tracked.slots_used += 1;
            tracked.last_pick = self.pick_count;
            tracked.last_used = Some(now);
            tracked.last_trial = Some(now);
            tracked.in_trial = true;
            return Some(Pick { backend: id, trial: true });
        }
        let id = self
            .backends
            .values()
            .filter(|tracked| tracked.configured && !request.tried.contains(&tracked.spec.id))
            .filter_map(|tracked| {
                let health = health(&tracked.spec.id);
                let tier = self.tier(now, tracked, health)?;
                Some(((tier, tracked.load_after_pick(health)?, tracked.last_pick), tracked))
            })
            .min_by_key(|(key, _)| *key)
            .map(|(_, tracked)| tracked.spec.id.clone())?;
        let tracked = self.backends.get_mut(&id)?;
        tracked.slots_used += 1;
        tracked.last_pick = self.pick_count;
        tracked.last_used = Some(now);
        Some(Pick { backend: id, trial: false })
    }

    fn release(&mut self, _now: Uptime, backend: &str) {
        if let Some(tracked) = self.backends.get_mut(backend) {
            tracked.slots_used = tracked.slots_used.saturating_sub(1);
            tracked.in_trial = false;
            if !tracked.configured && tracked.slots_used == 0 {
                self.backends.remove(backend);
            }
        }
    }

    fn load(&self, health: &dyn Fn(&str) -> HealthStatus) -> (u32, u32) {
        let mut sum = (0, 0);
        for tracked in self.backends.values().filter(|tracked| tracked.configured) {
            let health = health(&tracked.spec.id);
            if health != HealthStatus::HalfOpen {
                let limit = tracked.limit(health);
                sum.0 += limit;
                sum.1 += tracked.slots_used.min(limit);
            }
        }
        sum
    }
}
