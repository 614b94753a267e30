use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use kernel::{Incarnation, ServiceId, Uptime};

/// Time after which a request for permits counts no more: it is repeated while requests wait.
const MAX_AGE: Duration = Duration::from_millis(350);
/// Number of waiting requests of one VM and service that are heard at once.
pub const MAX_REMOTE_WAITERS: usize = 32;

/// A request that waits on another VM for leave to be sent to a limited backend server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RemoteWaiter {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Latest time at which it is still worth starting.
    pub start_deadline: Uptime,
    /// VM on which it waits.
    pub vm: Incarnation,
}

/// Where a permit is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitAddress {
    /// Address of the VM for messages.
    pub address: SocketAddr,
    /// Stamp of the request for permits, by which the VM tells whether it is still recent.
    pub stamp_ms: u64,
}

#[derive(Clone, Debug)]
struct Held {
    reply: PermitAddress,
    received_at: Uptime,
    /// In order.
    waiters: Vec<RemoteWaiter>,
}

/// What other VMs have asked the owner of limits for. Each request replaces the one before of the
/// same VM and service.
#[derive(Clone, Debug, Default)]
pub struct PermitRequests {
    held: HashMap<(ServiceId, Incarnation), Held>,
}

impl PermitRequests {
    /// Records the requests that wait on a VM; those beyond [`MAX_REMOTE_WAITERS`] are left out.
    pub fn record(
        &mut self,
        now: Uptime,
        service: ServiceId,
        vm: Incarnation,
        reply: PermitAddress,
        waiting: impl Iterator<Item = (u32, Uptime)>,
    ) {
        self.held.retain(|_, held| now.saturating_sub(held.received_at) < MAX_AGE);
        let waiter = |(priority, start_deadline)| RemoteWaiter { priority, start_deadline, vm };
        let mut waiters: Vec<RemoteWaiter> = waiting.take(MAX_REMOTE_WAITERS).map(waiter).collect();
        waiters.sort_unstable();
        if waiters.is_empty() {
            self.held.remove(&(service, vm));
        } else {
            self.held.insert((service, vm), Held { reply, received_at: now, waiters });
        }
    }

    /// The requests that wait for backend servers of a service, in no order.
    pub fn waiting(&self, now: Uptime, service: &str) -> Vec<RemoteWaiter> {
        let of_service = self.held.iter().filter(|((name, _), _)| **name == *service);
        let recent = of_service.filter(|(_, held)| now.saturating_sub(held.received_at) < MAX_AGE);
        let waiters = recent.flat_map(|(_, held)| held.waiters.iter().copied());
        waiters.filter(|waiter| waiter.start_deadline > now).collect()
    }

    /// Takes the first request that waits on a VM off the list; returns where its permit is sent.
    pub fn grant(&mut self, service: &ServiceId, vm: Incarnation) -> Option<PermitAddress> {
        let held = self.held.get_mut(&(service.clone(), vm))?;
        if held.waiters.is_empty() {
            return None;
        }
        held.waiters.remove(0);
        Some(held.reply)
    }

    /// Services for which requests wait.
    pub fn services(&self, now: Uptime) -> Vec<ServiceId> {
        let recent =
            self.held.iter().filter(|(_, held)| now.saturating_sub(held.received_at) < MAX_AGE);
        let mut services: Vec<ServiceId> = recent
            .filter(|(_, held)| !held.waiters.is_empty())
            .map(|(key, _)| key.0.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}
