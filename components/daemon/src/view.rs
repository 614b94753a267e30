use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use balancer::{rank_arbiters, rank_homes};
use kernel::VmEntry;
use kernel::prelude::*;

/// Live VMs as known by this VM, with rankings that are computed once.
#[derive(Debug, Default)]
pub struct View {
    /// Live VMs; this VM is one of them unless it is leaving.
    pub vms: Vec<VmEntry>,
    /// Cached rankings by service and region.
    rankings: Mutex<HashMap<(ServiceId, RegionId), Vec<VmEntry>>>,
    /// Cached homes of all regions, by service.
    service_homes: Mutex<HashMap<ServiceId, Vec<Incarnation>>>,
}

impl View {
    /// Creates a view of these VMs.
    pub fn new(vms: Vec<VmEntry>) -> Self {
        View { vms, rankings: Mutex::default(), service_homes: Mutex::default() }
    }

    /// Returns the candidates for home of the service in a region, best first.
    pub fn homes(&self, service: &str, region: &str) -> Vec<VmEntry> {
        let mut ranked = self.rankings.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (service.into(), region.into());
        let rank = || {
            let order = rank_homes(service, region, &self.vms);
            order.into_iter().filter_map(|i| self.vm(i)).cloned().collect()
        };
        ranked.entry(key).or_insert_with(rank).clone()
    }

    /// Returns the VM with this incarnation.
    pub fn vm(&self, incarnation: Incarnation) -> Option<&VmEntry> {
        self.vms.iter().find(|vm| vm.incarnation == incarnation)
    }

    /// Returns the homes of a service in all regions, best first.
    pub fn service_homes(&self, service: &str) -> Vec<Incarnation> {
        let mut order = self.service_homes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(order) = order.get(service) {
            return order.clone();
        }
        let mut regions: Vec<&RegionId> = self.vms.iter().map(|vm| &vm.place.region).collect();
        regions.sort_unstable();
        regions.dedup();
        let homes: Vec<Incarnation> = regions
            .into_iter()
            .filter_map(|region| self.homes(service, region).first().map(|vm| vm.incarnation))
            .collect();
        let mut ranked = rank_arbiters(service, &self.vms);
        ranked.retain(|vm| homes.contains(vm));
        order.insert(service.into(), ranked.clone());
        ranked
    }
}
