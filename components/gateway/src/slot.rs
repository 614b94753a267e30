use std::sync::Arc;

use dispatch::{
    Availability, BackendKey, BackendState, Coverage, Distance, NextWaiter, PaceRight, Placement,
    PlacementRequest, QueueCapacity, StartKey, Waiter, WaiterId, place,
};
use kernel::prelude::*;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::limits::update_rights;
use crate::node::Node;
use crate::state::{PlacementParams, QueuedRequest, State};

/// Minimum time to wait in the queue; with less time left, rejecting at once is better for the
/// caller.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(20);

/// Time for which a request waits for the permit of an owner that may have tokens to spare, although
/// the known capacity does not suffice: a round trip to another region and the interval of asking.
const PERMIT_WAIT: Duration = Duration::from_millis(250);
/// Number of requests of a service that wait so at a time; others are rejected at once.
const MAX_PERMIT_WAITS: u32 = 4;
/// Part of a limit that a VM counts on if it sends by permits.
const PERMIT_FRACTION: f64 = 0.25;

/// Time after a retryable request in which only retryable requests probe idle backend servers.
const RETRYABLE_WINDOW: Duration = Duration::from_millis(500);

/// A request slot of a backend server, released on drop.
pub struct Slot {
    node: Arc<Node>,
    /// Backend server of the slot.
    pub key: BackendKey,
    /// Service of the request.
    pub service: ServiceId,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = self.node.state();
        if let Some(backend) = state.backends.get_mut(self.key) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        serve_queue(&self.node, &mut state, now, &self.service);
    }
}

/// A request in the queue. It leaves the queue when its task is dropped, as when the caller
/// disconnects, and gives back a slot that it was assigned in the meantime.
struct QueuedWait<'a> {
    node: &'a Arc<Node>,
    service: &'a ServiceId,
    id: WaiterId,
    waiter: Waiter,
    /// Whether it waits for no more than the response of an owner of limits.
    is_brief: bool,
    /// Receives the backend server of the slot. What it holds is counted as in flight.
    receiver: oneshot::Receiver<BackendKey>,
}

impl QueuedWait<'_> {
    fn slot(&self, key: BackendKey) -> Slot {
        Slot { node: Arc::clone(self.node), key, service: self.service.clone() }
    }

    /// Leaves the queue; returns the slot if one was assigned.
    fn leave(&mut self) -> Option<Slot> {
        if let Some(service) = self.node.state().services.get_mut(self.service) {
            service.queue.remove(self.id, &self.waiter);
            service.queued.remove(&self.id);
            if std::mem::take(&mut self.is_brief) {
                service.asks.brief_waits = service.asks.brief_waits.saturating_sub(1);
            }
        }
        let assigned = self.receiver.try_recv().ok();
        assigned.map(|key| self.slot(key))
    }
}

impl Drop for QueuedWait<'_> {
    fn drop(&mut self) {
        drop(self.leave());
    }
}

fn choose_placement(
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

fn reserve(state: &mut State, now: Uptime, key: BackendKey, service: &str) {
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
    let order = match state.services.get(service) {
        Some(service) => service.queue.order(remote.into_iter()),
        None => remote.into_iter().map(|waiter| NextWaiter::Remote(waiter.vm)).collect(),
    };
    for next in order {
        match next {
            NextWaiter::Own(id) => serve_waiter(node, state, now, service, id),
            NextWaiter::Remote(vm) => grant_permit(node, state, now, service, vm),
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

fn grant_permit(node: &Node, state: &mut State, now: Uptime, service: &str, vm: Incarnation) {
    let Some(start) = state.backends.grant_permit(now, service) else { return };
    let Some(address) = state.permit_requests.grant(&service.into(), vm) else {
        state.backends.return_permit(start);
        return;
    };
    state.unsent_permits.push((address, start));
    node.metrics.record_grant();
    node.pace_wake.notify_one();
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

/// Waits until the process stops and may not send the request any more.
async fn stop_forbids(node: &Node, deadline: Uptime, expected: Duration) {
    node.stop_begun.cancelled().await;
    let latest = node.send_until(deadline, expected).unwrap_or_default();
    sleep(latest.saturating_sub(node.now())).await;
}

/// Why a request got no slot; it was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoSlot {
    /// No backend server is left that it could be sent to.
    NoBackend,
    /// The queue is too long, no slot became free in time, or all backend servers are paused.
    Rejected {
        /// Retry-After for the caller.
        retry_after: Duration,
    },
    /// The process stops, and could end before the request has its response.
    Stopping,
}

/// Whether a service has backend servers that this VM sends requests by permits.
fn counts_on_permits(state: &State, service: &str) -> bool {
    let mut paces = state.backends.of_service(service).filter_map(|(_, backend)| backend.pace);
    paces.any(|pace| pace.right() == PaceRight::Permit)
}

/// Capacity that a waiting request can count on: the slots of the own failure domain, and what request
/// limits leave to this VM.
fn queue_capacity(
    node: &Node,
    state: &State,
    now: Uptime,
    params: &PlacementParams,
    available_at: Uptime,
) -> QueueCapacity {
    let expected_s = params.estimate.time_s;
    let domains = node.boot_config.load().domain_regions.len().max(1) as f64;
    let own = state.services.get(&params.service).map_or(0, |service| service.queue.len()) as f64;
    let remote = state.permit_requests.waiting(now, &params.service).len() as f64;
    let own_part = (own + 1.0) / (own + 1.0 + remote);
    let mut slots = 0_u32;
    let (mut limited_rate, mut remote_rate, mut is_limited) = (0.0, 0.0, false);
    for (_, backend) in state.backends.of_service(&params.service) {
        match backend.availability(now) {
            Availability::Ready => {}
            Availability::Paused(until) if until <= available_at => {}
            _ => continue,
        }
        let max_rate = f64::from(backend.entry.slots) / expected_s.max(0.01);
        let is_local = distance_of(node, backend) == Distance::Domain;
        match backend.pace {
            Some(pace) => {
                is_limited = true;
                limited_rate += match pace.right() {
                    PaceRight::Permit => PERMIT_FRACTION * pace.limit().per_second(),
                    _ => pace.rate() * own_part,
                }
                .min(max_rate);
            }
            None if is_local => slots = slots.saturating_add(backend.entry.slots),
            None => remote_rate += max_rate / domains,
        }
    }
    let limited_rate = is_limited.then_some(limited_rate + remote_rate);
    QueueCapacity { slots, expected_s, available_at, limited_rate }
}

/// Takes a slot for a request, waiting in the queue until `start_deadline` if none is free.
pub async fn acquire(
    node: &Arc<Node>,
    params: PlacementParams,
    priority: u32,
    start_deadline: Uptime,
) -> Result<Slot, NoSlot> {
    let service = params.service.clone();
    let (deadline, expected) = (params.deadline, params.estimate.time());
    if !node.may_send(deadline, expected) {
        return Err(NoSlot::Stopping);
    }
    // What a request is told that gets no slot although it was queued.
    let mut retry_after = Duration::from_millis(500);
    let mut is_brief = false;
    let mut waiting = {
        let now = node.now();
        let spread = node.random_fraction();
        let mut available_at = now;
        let mut state = node.state();
        let is_limited = update_rights(node, &mut state, now, &service);
        match choose_placement(node, &mut state, now, &params) {
            Placement::Send(key) => {
                reserve(&mut state, now, key, &service);
                return Ok(Slot { node: Arc::clone(node), key, service: service.clone() });
            }
            Placement::NoBackend => return Err(NoSlot::NoBackend),
            Placement::Paused(until) => available_at = until,
            Placement::Wait => {}
        }
        let expected_s = params.estimate.time_s;
        let capacity = queue_capacity(node, &state, now, &params, available_at);
        let may_ask = is_limited && counts_on_permits(&state, &service);
        let id = node.random();
        let mut waiter = Waiter { priority, start_deadline, queued_at: now };
        let service_state = state.services.entry(service.clone()).or_default();
        if start_deadline < now + MIN_QUEUE_WAIT {
            return Err(NoSlot::Rejected { retry_after: Duration::from_secs_f64(expected_s) });
        }
        if let Err(rejected) = service_state.queue.enqueue(now, id, waiter, capacity, spread) {
            retry_after = rejected.retry_after;
            if !may_ask || service_state.asks.brief_waits >= MAX_PERMIT_WAITS {
                return Err(NoSlot::Rejected { retry_after });
            }
            waiter.start_deadline = start_deadline.min(now + PERMIT_WAIT);
            service_state.queue.push(id, waiter);
            service_state.asks.brief_waits += 1;
            is_brief = true;
        }
        if may_ask {
            node.pace_wake.notify_one();
        }
        let (wake, receiver) = oneshot::channel();
        service_state.queued.insert(id, QueuedRequest { waiter, params, wake });
        drop(state);
        QueuedWait { node, service: &service, id, waiter, is_brief, receiver }
    };
    let wait = waiting.waiter.start_deadline.saturating_sub(node.now());
    let woken = tokio::select! {
        woken = &mut waiting.receiver => woken.ok(),
        () = sleep(wait) => None,
        () = stop_forbids(node, deadline, expected) => None,
    };
    // A slot may have been assigned between the end of the wait and leaving the queue.
    let assigned = woken.map(|key| waiting.slot(key)).or_else(|| waiting.leave());
    match assigned {
        _ if !node.may_send(deadline, expected) => Err(NoSlot::Stopping),
        Some(slot) => Ok(slot),
        None => Err(NoSlot::Rejected { retry_after }),
    }
}
