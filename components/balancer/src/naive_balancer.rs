use std::collections::BTreeMap;

use kernel::prelude::*;
use kernel::{Balancer, BalancerPlugin, Pick, PickRequest};
use rand::RngCore;

use crate::tracked_backend::TrackedBackend;

inventory::submit! {
    BalancerPlugin { name: "naive", build: |context| Box::new(NaiveBalancer::new(context.vms)) }
}

/// Round robin without coordination between VMs: each VM uses an equal share of the slots of every
/// backend server.
pub struct NaiveBalancer {
    /// Backend servers by id.
    backends: BTreeMap<BackendId, TrackedBackend>,
    /// Number of VMs that share the slots. At least 1.
    vms: u32,
    /// Number of successful picks so far.
    pick_count: u64,
}

impl NaiveBalancer {
    /// Creates a balancer without backend servers, for a fleet of `vms` VMs.
    pub fn new(vms: usize) -> Self {
        NaiveBalancer { backends: BTreeMap::new(), vms: vms.max(1) as u32, pick_count: 0 }
    }

    fn limit(&self, tracked: &TrackedBackend, health: HealthStatus) -> u32 {
        match tracked.limit(health) {
            0 => 0,
            limit => (limit / self.vms).max(1),
        }
    }
}

impl Balancer for NaiveBalancer {
    fn set_backends(&mut self, _now: Uptime, backends: &[BackendSpec], _local: &Place) {
        self.backends.retain(|id, _| backends.iter().any(|spec| spec.id == *id));
        for spec in backends {
            self.backends
                .entry(spec.id.clone())
                .and_modify(|tracked| tracked.spec = spec.clone())
                .or_insert_with(|| TrackedBackend::new(spec.clone()));
        }
    }

    fn pick(
        &mut self,
        _now: Uptime,
        request: &PickRequest<'_>,
        health: &dyn Fn(&str) -> HealthStatus,
        _rng: &mut dyn RngCore,
    ) -> Option<Pick> {
        let id = self
            .backends
            .values()
            .filter(|tracked| !request.tried.contains(&tracked.spec.id))
            .filter(|tracked| tracked.slots_used < self.limit(tracked, health(&tracked.spec.id)))
            .min_by_key(|tracked| tracked.last_pick)
            .map(|tracked| tracked.spec.id.clone())?;
        self.pick_count += 1;
        let tracked = self.backends.get_mut(&id)?;
        tracked.slots_used += 1;
        tracked.last_pick = self.pick_count;
        Some(Pick { backend: id, trial: false })
    }

    fn release(&mut self, _now: Uptime, backend: &str) {
        if let Some(tracked) = self.backends.get_mut(backend) {
            tracked.slots_used = tracked.slots_used.saturating_sub(1);
        }
    }

    fn load(&self, health: &dyn Fn(&str) -> HealthStatus) -> (u32, u32) {
        self.backends.values().fold((0, 0), |sum, tracked| {
            let limit = self.limit(tracked, health(&tracked.spec.id));
            (sum.0 + limit, sum.1 + tracked.slots_used.min(limit))
        })
    }
}
