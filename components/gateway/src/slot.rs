use std::sync::Arc;

use dispatch::{
    Availability, BackendKey, BackendState, Coverage, Distance, Placement, PlacementRequest,
    QueueCapacity, Waiter, WaiterId, place,
};
use kernel::prelude::*;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::node::Node;
use crate::state::{PlacementParams, QueuedRequest, State};

/// Minimum time to wait in the queue; with less time left, rejecting at once is better for the
/// caller.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(20);

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
    if let Some(backend) = state.backends.get_mut(key) {
        backend.in_flight += 1;
        backend.last_sent = Some(now);
    }
    if let Some(service) = state.services.get_mut(service) {
        service.queue.record_start(now);
    }
}

/// Places waiting requests on backend servers with free slots, in queue order.
pub fn serve_queue(node: &Node, state: &mut State, now: Uptime, service: &str) {
    let ids = match state.services.get(service) {
        Some(service) if !service.queue.is_empty() => service.queue.ids(),
        _ => return,
    };
    for id in ids {
        let Some(queued) = state.services.get(service).and_then(|s| s.queued.get(&id)) else {
            continue;
        };
        let params = queued.params.clone();
        let Placement::Send(key) = choose_placement(node, state, now, &params) else { continue };
        let Some(service_state) = state.services.get_mut(service) else { return };
        let Some(queued) = service_state.queued.remove(&id) else { continue };
        service_state.queue.remove(id, &queued.waiter);
        if queued.wake.send(key).is_ok() {
            reserve(state, now, key, service);
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
    let mut waiting = {
        let now = node.now();
        let spread = node.random_fraction();
        let mut available_at = now;
        let mut state = node.state();
        match choose_placement(node, &mut state, now, &params) {
            Placement::Send(key) => {
                reserve(&mut state, now, key, &service);
                return Ok(Slot { node: Arc::clone(node), key, service: service.clone() });
            }
            Placement::NoBackend => return Err(NoSlot::NoBackend),
            Placement::Paused(until) => available_at = until,
            Placement::Wait => {}
        }
        let slots = state
            .backends
            .of_service(&service)
            .filter(|(_, b)| distance_of(node, b) == Distance::Domain)
            .filter(|(_, b)| match b.availability(now) {
                Availability::Ready => true,
                Availability::Paused(until) => until <= available_at,
                Availability::Leaving => false,
            })
            .fold(0_u32, |sum, (_, b)| sum.saturating_add(b.entry.slots));
        let expected_s = params.estimate.time_s;
        let capacity = QueueCapacity { slots, expected_s, available_at };
        let id = node.random();
        let waiter = Waiter { priority, start_deadline, queued_at: now };
        let service_state = state.services.entry(service.clone()).or_default();
        if start_deadline < now + MIN_QUEUE_WAIT {
            return Err(NoSlot::Rejected { retry_after: Duration::from_secs_f64(expected_s) });
        }
        service_state
            .queue
            .enqueue(now, id, waiter, capacity, spread)
            .map_err(|rejected| NoSlot::Rejected { retry_after: rejected.retry_after })?;
        let (wake, receiver) = oneshot::channel();
        service_state.queued.insert(id, QueuedRequest { waiter, params, wake });
        drop(state);
        QueuedWait { node, service: &service, id, waiter, receiver }
    };
    let wait = start_deadline.saturating_sub(node.now());
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
        None => Err(NoSlot::Rejected { retry_after: Duration::from_millis(500) }),
    }
}
