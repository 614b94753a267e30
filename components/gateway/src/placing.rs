//! Places requests on backend servers: those that arrive, those that wait, and by permits those that
//! wait on other VMs.

use dispatch::{
    Availability, BackendKey, BackendState, CapacityInput, Coverage, Distance, NextWaiter,
    PaceRight, Placement, PlacementRequest, QueueCapacity, StartKey, WaitQueue, WaiterId, place,
};
use kernel::prelude::*;

use crate::limits::update_rights;
use crate::node::Node;
use crate::state::{PlacementParams, State};

/// Time after a retryable request in which only retryable requests probe idle backend servers.
const RETRYABLE_WINDOW: Duration = Duration::from_millis(500);

/// Decides where a request is sent now.
pub fn choose_placement(
    node: &Node,
    state: &mut State,
    now: Uptime,
    params: &PlacementParams,
) -> Placement {
    let min_fraction = node.boot_config.load().fleet_limits.min_healthy;
    let coverage = state.services.get_mut(&params.service).map_or(
        Coverage { min_fraction, failure_fraction: 0.0, has_retryable: false },
        |service| {
            if params.retryable {
                service.last_retryable = Some(now);
            }
            let has_retryable =
                service.last_retryable.is_some_and(|at| now.saturating_sub(at) < RETRYABLE_WINDOW);
            Coverage {
                min_fraction,
                failure_fraction: service.outcomes.failure_fraction(now),
                has_retryable,
            }
        },
    );
    let request = PlacementRequest {
        value: params.value,
        retryable: params.retryable,
        // The size of the body is known, that of the response is not.
        size_kb: params.estimate.size_kb.max(params.body_kb),
        body_kb: params.body_kb,
        expected_s: params.estimate.time_s,
        remaining_s: params.objective_deadline.saturating_sub(now).as_secs_f64(),
        tried: &params.tried,
        coverage,
    };
    let weights = state.placement_weights;
    let candidates = state
        .backends
        .of_service(&params.service)
        .map(|(key, backend)| (key, backend, distance_of(node, backend)));
    place(now, candidates, &request, state.backends.gray_duration(), &weights)
}

fn distance_of(node: &Node, backend: &BackendState) -> Distance {
    node.distance(&backend.entry.domain)
}

/// Reserves a slot and, of a limited backend server, a token.
pub fn reserve(state: &mut State, now: Uptime, key: BackendKey, service: &str) {
    if let Some(pace) = state.backends.get_mut(key).and_then(|backend| backend.pace.as_mut()) {
        pace.take(now);
    }
    reserve_by_permit(state, now, key, service);
}

/// Reserves a slot for a request whose token is spent on another VM, or that needs none.
fn reserve_by_permit(state: &mut State, now: Uptime, key: BackendKey, service: &str) {
    if let Some(backend) = state.backends.get_mut(key) {
        backend.in_flight += 1;
        backend.last_sent = Some(now);
    }
    if let Some(service) = state.services.get_mut(service) {
        service.queue.record_start(now);
    }
}

/// Places waiting requests on backend servers with free slots, in queue order. Those that wait on
/// other VMs get permits for backend servers whose request limits this VM owns.
pub fn serve_queue(node: &Node, state: &mut State, now: Uptime, service: &str) {
    let is_limited = update_rights(node, state, now, service);
    let remote = if is_limited { state.permit_requests.waiting(now, service) } else { Vec::new() };
    let no_queue = WaitQueue::default();
    let queue = state.services.get(service).map_or(&no_queue, |service| &service.queue);
    let mut has_tokens = true;
    for next in queue.order(remote.into_iter()) {
        match next {
            NextWaiter::Own(id) => serve_waiter(node, state, now, service, id),
            NextWaiter::Remote(vm) if has_tokens => {
                has_tokens = grant_permit(node, state, now, service, vm);
            }
            NextWaiter::Remote(_) => {}
        }
    }
}

fn serve_waiter(node: &Node, state: &mut State, now: Uptime, service: &str, id: WaiterId) {
    let queued = state.services.get(service).and_then(|s| s.queued.get(&id));
    let Some(params) = queued.map(|queued| queued.params.clone()) else { return };
    if let Placement::Send(key) = choose_placement(node, state, now, &params)
        && wake(state, service, id, key)
    {
        reserve(state, now, key, service);
    }
}

/// Takes a request out of the queue and tells it its backend server. Returns whether it still waits.
fn wake(state: &mut State, service: &str, id: WaiterId, key: BackendKey) -> bool {
    let Some(service) = state.services.get_mut(service) else { return false };
    let Some(queued) = service.queued.remove(&id) else { return false };
    service.queue.remove(id, &queued.waiter);
    queued.wake.send(key).is_ok()
}

/// Gives a VM a permit for its first waiting request. Returns whether there was a token for one.
fn grant_permit(
    node: &Node,
    state: &mut State,
    now: Uptime,
    service: &str,
    vm: Incarnation,
) -> bool {
    let Some(start) = state.backends.grant_permit(now, service) else { return false };
    let Some(address) = state.permit_requests.grant(&service.into(), vm) else {
        state.backends.return_permit(start);
        return true;
    };
    state.unsent_permits.push((address, start));
    node.metrics.record_grant();
    node.pace_wake.notify_one();
    true
}

/// Gives a permit of another VM to the first waiting request that can use it. Returns whether there
/// is one.
pub fn assign_permit(state: &mut State, now: Uptime, start: StartKey) -> bool {
    let Some(key) = state.backends.find_start(start) else { return false };
    let Some(backend) = state.backends.get(key) else { return false };
    if backend.availability(now) != Availability::Ready || backend.reachability.is_unreachable(now)
    {
        return false;
    }
    let name = backend.entry.service.clone();
    loop {
        let Some(service) = state.services.get(&name) else { return false };
        let can_use = |id: &WaiterId| {
            service.queued.get(id).is_some_and(|queued| !queued.params.tried.contains(&key))
        };
        let Some(id) = service.queue.ids().find(can_use) else { return false };
        if wake(state, &name, id, key) {
            reserve_by_permit(state, now, key, &name);
            return true;
        }
    }
}

/// Whether a service has backend servers to which this VM sends requests by permits.
pub fn sends_by_permit(state: &State, service: &str) -> bool {
    let mut paces = state.backends.of_service(service).filter_map(|(_, backend)| backend.pace);
    paces.any(|pace| pace.right() == PaceRight::Permit)
}

/// Capacity that a waiting request can count on.
pub fn queue_capacity(
    node: &Node,
    state: &State,
    now: Uptime,
    params: &PlacementParams,
    available_at: Uptime,
) -> QueueCapacity {
    let backends = state.backends.of_service(&params.service);
    let backends = backends.map(|(_, backend)| (backend, distance_of(node, backend)));
    let own_waiting = state.services.get(&params.service).map_or(0, |s| s.queue.len());
    QueueCapacity::estimate(
        backends,
        &CapacityInput {
            now,
            expected_s: params.estimate.time_s,
            available_at,
            domains: node.boot_config.load().domain_regions.len(),
            own_waiting,
            remote_waiting: state.permit_requests.waiting(now, &params.service).len(),
        },
    )
}
