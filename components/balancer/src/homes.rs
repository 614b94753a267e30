use std::collections::BTreeMap;

use kernel::prelude::*;
use kernel::{Balancer, BalancerPlugin, Pick, PickRequest};
use rand::RngCore;

use crate::member::Member;

inventory::submit! {
    BalancerPlugin { name: "homes", build: |_| Box::new(Homes::default()) }
}

/// Trials that each pick earns. A trial may cost its caller a late answer, so a tenth of the
/// requests at most are trials.
const TRIAL_SHARE: f64 = 0.1;
/// Trials that can be saved up.
const TRIAL_BURST: f64 = 2.0;
/// Time without a request after which a backend server comes first: one without requests gives no
/// evidence, and a stall of it would be found by the rush that needs it.
const EVIDENCE_GAP: Duration = Duration::from_millis(400);
/// Shortest time between two trials of one suspect backend server.
const TRIAL_GAP: Duration = Duration::from_millis(500);

/// Balancer of the home of a service: counts all slots of its region.
#[derive(Default)]
pub struct Homes {
    /// Backend servers by id; those that have left stay until their slots are free.
    members: BTreeMap<BackendId, Member>,
    /// Where this VM runs; none before the first set of backend servers.
    local: Option<Place>,
    /// Number of picks so far.
    picks: u64,
    /// Trials that may be started now. In [0, TRIAL_BURST].
    trials: f64,
}

impl Homes {
    /// The backend server that is due for a trial and has waited longest for one.
    fn find_trial(
        &self,
        now: Uptime,
        request: &PickRequest<'_>,
        standing: &dyn Fn(&str) -> HealthStatus,
    ) -> Option<BackendId> {
        // A retry goes to a backend server that is known to work.
        if !request.idempotent || !request.tried.is_empty() || self.trials < 1.0 {
            return None;
        }
        let due = |member: &Member| match standing(&member.spec.id) {
            HealthStatus::HalfOpen => member.used == 0,
            HealthStatus::Suspect => {
                member.used < member.spec.limits.slots
                    && !member.in_trial
                    && member.last_trial.is_none_or(|at| now.saturating_sub(at) >= TRIAL_GAP)
            }
            _ => false,
        };
        self.members
            .values()
            .filter(|member| member.present && due(member))
            .min_by_key(|member| (member.last_trial, member.last_pick))
            .map(|member| member.spec.id.clone())
    }

    /// Rank of a backend server; the lowest rank with a free slot takes the request.
    fn tier(&self, now: Uptime, member: &Member, standing: HealthStatus) -> Option<u8> {
        let local = self.local.as_ref()?;
        let place = &member.spec.place;
        match standing {
            HealthStatus::Healthy | HealthStatus::Ramping(_) if place.region != local.region => {
                Some(3)
            }
            HealthStatus::Healthy | HealthStatus::Ramping(_) => {
                if member.last_work.is_none_or(|at| now.saturating_sub(at) >= EVIDENCE_GAP) {
                    return Some(0);
                }
                // The own failure domain is filled to half its slots before others take work.
                let near = place.domain == local.domain && member.next_load(standing)? <= 500;
                Some(if near { 1 } else { 2 })
            }
            HealthStatus::Suspect => Some(4),
            _ => None,
        }
    }
}

impl Balancer for Homes {
    fn set_backends(&mut self, _now: Uptime, backends: &[BackendSpec], local: &Place) {
        self.local = Some(local.clone());
        for member in self.members.values_mut() {
            member.present = false;
        }
        for spec in backends {
            match self.members.get_mut(&spec.id) {
                Some(member) => {
                    member.present = true;
                    member.spec = spec.clone();
                }
                None => {
                    self.members.insert(spec.id.clone(), Member::new(spec.clone()));
                }
            }
        }
        self.members.retain(|_, member| member.present || member.used > 0);
    }

    fn pick(
        &mut self,
        now: Uptime,
        request: &PickRequest<'_>,
        standing: &dyn Fn(&str) -> HealthStatus,
        _rng: &mut dyn RngCore,
    ) -> Option<Pick> {
        self.picks += 1;
        self.trials = (self.trials + TRIAL_SHARE).min(TRIAL_BURST);
        if let Some(id) = self.find_trial(now, request, standing) {
            self.trials -= 1.0;
            let member = self.members.get_mut(&id)?;
            member.used += 1;
            member.last_pick = self.picks;
            member.last_work = Some(now);
            member.last_trial = Some(now);
            member.in_trial = true;
            return Some(Pick { backend: id, trial: true });
        }
        let id = self
            .members
            .values()
            .filter(|member| member.present && !request.tried.contains(&member.spec.id))
            .filter_map(|member| {
                let standing = standing(&member.spec.id);
                let tier = self.tier(now, member, standing)?;
                Some(((tier, member.next_load(standing)?, member.last_pick), member))
            })
            .min_by_key(|(key, _)| *key)
            .map(|(_, member)| member.spec.id.clone())?;
        let member = self.members.get_mut(&id)?;
        member.used += 1;
        member.last_pick = self.picks;
        member.last_work = Some(now);
        Some(Pick { backend: id, trial: false })
    }

    fn release(&mut self, _now: Uptime, backend: &str) {
        if let Some(member) = self.members.get_mut(backend) {
            member.used = member.used.saturating_sub(1);
            member.in_trial = false;
            if !member.present && member.used == 0 {
                self.members.remove(backend);
            }
        }
    }

    fn load(&self, standing: &dyn Fn(&str) -> HealthStatus) -> (u32, u32) {
        let mut sum = (0, 0);
        for member in self.members.values().filter(|member| member.present) {
            let standing = standing(&member.spec.id);
            if standing != HealthStatus::HalfOpen {
                let limit = member.limit(standing);
                sum.0 += limit;
                sum.1 += member.used.min(limit);
            }
        }
        sum
    }
}
