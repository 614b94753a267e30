use std::collections::BTreeMap;

use kernel::prelude::*;
use kernel::{Balancer, BalancerPlugin, Pick, PickRequest};
use rand::RngCore;

use crate::member::Member;

inventory::submit! {
    BalancerPlugin { name: "naive", build: |context| Box::new(Naive::new(context.vms)) }
}

/// Round robin on a VM that schedules alone: it takes an even part of every slot count.
pub struct Naive {
    /// Backend servers by id.
    members: BTreeMap<BackendId, Member>,
    /// VMs that share the slots. At least 1.
    vms: u32,
    /// Number of picks so far.
    picks: u64,
}

impl Naive {
    /// A balancer without backend servers on one of `vms` VMs.
    pub fn new(vms: usize) -> Self {
        Naive { members: BTreeMap::new(), vms: vms.max(1) as u32, picks: 0 }
    }

    fn limit(&self, member: &Member, standing: HealthStatus) -> u32 {
        match member.limit(standing) {
            0 => 0,
            limit => (limit / self.vms).max(1),
        }
    }
}

impl Balancer for Naive {
    fn set_backends(&mut self, _now: Uptime, backends: &[BackendSpec], _local: &Place) {
        self.members.retain(|id, _| backends.iter().any(|spec| spec.id == *id));
        for spec in backends {
            self.members
                .entry(spec.id.clone())
                .and_modify(|member| member.spec = spec.clone())
                .or_insert_with(|| Member::new(spec.clone()));
        }
    }

    fn pick(
        &mut self,
        _now: Uptime,
        request: &PickRequest<'_>,
        standing: &dyn Fn(&str) -> HealthStatus,
        _rng: &mut dyn RngCore,
    ) -> Option<Pick> {
        let id = self
            .members
            .values()
            .filter(|member| !request.tried.contains(&member.spec.id))
            .filter(|member| member.used < self.limit(member, standing(&member.spec.id)))
            .min_by_key(|member| member.last_pick)
            .map(|member| member.spec.id.clone())?;
        self.picks += 1;
        let member = self.members.get_mut(&id)?;
        member.used += 1;
        member.last_pick = self.picks;
        Some(Pick { backend: id, trial: false })
    }

    fn release(&mut self, _now: Uptime, backend: &str) {
        if let Some(member) = self.members.get_mut(backend) {
            member.used = member.used.saturating_sub(1);
        }
    }

    fn load(&self, standing: &dyn Fn(&str) -> HealthStatus) -> (u32, u32) {
        self.members.values().fold((0, 0), |sum, member| {
            let limit = self.limit(member, standing(&member.spec.id));
            (sum.0 + limit, sum.1 + member.used.min(limit))
        })
    }
}
