use std::sync::Arc;

use dispatch::{BackendKey, Placement, QueueCapacity, Waiter, WaiterId};
use kernel::prelude::*;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::limits::update_rights;
use crate::node::Node;
use crate::placing::{choose_placement, queue_capacity, reserve, sends_by_permit, serve_queue};
use crate::state::{PlacementParams, QueuedRequest, State};

/// Minimum time to wait in the queue; with less time left, rejecting at once is better for the
/// caller.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(20);

/// Retry-After of a request that was expected to start in time and did not.
const LATE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which a request waits for the permit of an owner that may have tokens to spare, although
/// the known capacity does not suffice: a round trip to another region and the interval of asking.
const PERMIT_WAIT: Duration = Duration::from_millis(250);
/// Number of requests of a service that wait so at a time; others are rejected at once.
const MAX_PERMIT_WAITS: u32 = 4;
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
    service: ServiceId,
    id: WaiterId,
    waiter: Waiter,
    /// Whether it waits for no more than the response of an owner of limits.
    is_brief: bool,
    /// What it is told if it gets no slot.
    no_slot: NoSlot,
    /// Receives the backend server of the slot. What it holds is counted as in flight.
    receiver: oneshot::Receiver<BackendKey>,
}

impl QueuedWait<'_> {
    fn slot(&self, key: BackendKey) -> Slot {
        Slot { node: Arc::clone(self.node), key, service: self.service.clone() }
    }

    /// Leaves the queue; returns the slot if one was assigned.
    fn leave(&mut self) -> Option<Slot> {
        if let Some(service) = self.node.state().services.get_mut(&self.service) {
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

/// Waits until the process stops and may not send the request any more.
async fn stop_forbids(node: &Node, deadline: Uptime, expected: Duration) {
    node.stop_begun.cancelled().await;
    let latest = node.send_until(deadline, expected).unwrap_or_default();
    sleep(latest.saturating_sub(node.now())).await;
}

/// Why a request got no slot; it was not sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoSlot {
    /// No backend server is left that it could be sent to.
    NoBackend,
    /// The queue is too long, no slot became free in time, or all backend servers are paused.
    Rejected {
        /// Retry-After for the caller.
        retry_after: Duration,
        /// Requests per second that this VM can count on; `None` if no backend server has a request
        /// limit.
        limited_rate: Option<f64>,
    },
    /// The process stops, and could end before the request has its response.
    Stopping,
}

/// Queues a request that is expected to start in time. One that is not waits for the response of an
/// owner of request limits, if there is one that may have tokens to spare and few ask it already.
fn enqueue<'a>(
    node: &'a Arc<Node>,
    state: &mut State,
    params: PlacementParams,
    mut waiter: Waiter,
    capacity: QueueCapacity,
) -> Result<QueuedWait<'a>, NoSlot> {
    let (now, id, spread) = (waiter.queued_at, node.random(), node.random_fraction());
    let limited_rate = capacity.max_rate();
    if waiter.start_deadline < now + MIN_QUEUE_WAIT {
        let retry_after = Duration::from_secs_f64(capacity.expected_s);
        return Err(NoSlot::Rejected { retry_after, limited_rate });
    }
    let may_ask = sends_by_permit(state, &params.service);
    let service = state.services.entry(params.service.clone()).or_default();
    let rejected = service.queue.enqueue(now, id, waiter, capacity, spread).err();
    let is_brief = rejected.is_some();
    let retry_after = rejected.map_or(LATE_RETRY_AFTER, |rejected| rejected.retry_after);
    let no_slot = NoSlot::Rejected { retry_after, limited_rate };
    if is_brief {
        if !may_ask || service.asks.brief_waits >= MAX_PERMIT_WAITS {
            return Err(no_slot);
        }
        waiter.start_deadline = waiter.start_deadline.min(now + PERMIT_WAIT);
        service.queue.push(id, waiter);
        service.asks.brief_waits += 1;
    }
    let (wake, receiver) = oneshot::channel();
    let name = params.service.clone();
    service.queued.insert(id, QueuedRequest { waiter, params, wake });
    Ok(QueuedWait { node, service: name, id, waiter, is_brief, no_slot, receiver })
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
        let mut state = node.state();
        let is_limited = update_rights(node, &mut state, now, &service);
        let available_at = match choose_placement(node, &mut state, now, &params) {
            Placement::Send(key) => {
                reserve(&mut state, now, key, &service);
                return Ok(Slot { node: Arc::clone(node), key, service });
            }
            Placement::NoBackend => return Err(NoSlot::NoBackend),
            Placement::Paused(until) => until,
            Placement::Wait => now,
        };
        let capacity = queue_capacity(node, &state, now, &params, available_at);
        let waiter = Waiter { priority, start_deadline, queued_at: now };
        let waiting = enqueue(node, &mut state, params, waiter, capacity)?;
        if is_limited {
            node.pace_wake.notify_one();
        }
        waiting
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
        None => Err(waiting.no_slot),
    }
}
