use std::sync::Arc;

use dispatch::{
    BackendKey, BackendState, Coverage, Distance, Placement, PlacementRequest, Waiter, WaiterId,
    place,
};
use kernel::prelude::*;
use tokio::sync::oneshot;

use crate::node::Node;
use crate::state::{Demand, State, Waiting};

/// Shortest wait in the line: sooner, a rejection serves the caller better.
const SHORTEST_WAIT: Duration = Duration::from_millis(20);

/// Time since a request that can be sent once more in which such requests do the trying.
const REPEATABLE_AGE: Duration = Duration::from_millis(500);

/// A slot of a backend server, freed when it is dropped.
pub struct Slot {
    node: Arc<Node>,
    /// Backend server.
    pub key: BackendKey,
    /// Service.
    pub service: ServiceId,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = self.node.state();
        if let Some(backend) = state.backends.get_mut(self.key) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        pump(&self.node, &mut state, now, &self.service);
    }
}

/// A request that leaves the line when its caller goes.
struct InLine<'a> {
    node: &'a Node,
    service: &'a str,
    id: WaiterId,
    waiter: Waiter,
}

impl Drop for InLine<'_> {
    fn drop(&mut self) {
        let mut state = self.node.state();
        if let Some(service) = state.services.get_mut(self.service) {
            service.room.remove(self.id, &self.waiter);
            service.waiting.remove(&self.id);
        }
    }
}

fn choose(node: &Node, state: &mut State, now: Uptime, demand: &Demand) -> Placement {
    let min_fraction = node.boot.load().fleet_limits.min_healthy;
    let coverage = state.services.get_mut(&demand.service).map_or(
        Coverage { min_fraction, failure_fraction: 0.0, has_retryable: false },
        |service| {
            if demand.repeatable {
                service.repeatable = Some(now);
            }
            let has_retryable =
                service.repeatable.is_some_and(|at| now.saturating_sub(at) < REPEATABLE_AGE);
            Coverage {
                min_fraction,
                failure_fraction: service.outcomes.failure_fraction(now),
                has_retryable,
            }
        },
    );
    let request = PlacementRequest {
        value: demand.worth,
        retryable: demand.repeatable,
        size_kb: demand.usual.size,
        expected_s: demand.usual.time,
        remaining_s: demand.due.saturating_sub(now).as_secs_f64(),
        tried: &demand.tried,
        coverage,
    };
    let options = state.placement;
    let candidates = state
        .backends
        .of_service(&demand.service)
        .map(|(key, backend)| (key, backend, distance_of(node, backend)));
    place(now, candidates, &request, state.backends.gray_duration(), &options)
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
        service.room.record_start(now);
    }
}

/// Gives room to those that wait, in their order.
pub fn pump(node: &Node, state: &mut State, now: Uptime, service: &str) {
    let ids = match state.services.get(service) {
        Some(service) if !service.room.is_empty() => service.room.ids(),
        _ => return,
    };
    for id in ids {
        let Some(waiting) = state.services.get(service).and_then(|s| s.waiting.get(&id)) else {
            continue;
        };
        let demand = waiting.demand.clone();
        let Placement::Send(key) = choose(node, state, now, &demand) else { continue };
        let Some(line) = state.services.get_mut(service) else { return };
        let Some(waiting) = line.waiting.remove(&id) else { continue };
        line.room.remove(id, &waiting.waiter);
        if waiting.wake.send(key).is_ok() {
            reserve(state, now, key, service);
        }
    }
}

/// Why a request got no slot. It was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoSlot {
    /// No backend server is left for it.
    NoBackend,
    /// The line is too long for it, or did not move in time.
    Full {
        /// When to return.
        retry: Duration,
    },
}

/// Takes a slot for a request, or waits in line until `latest`.
pub async fn acquire(
    node: &Arc<Node>,
    demand: Demand,
    priority: u32,
    latest: Uptime,
) -> Result<Slot, NoSlot> {
    let service = demand.service.clone();
    let slot = |key| Slot { node: Arc::clone(node), key, service: service.clone() };
    let (receiver, line) = {
        let now = node.now();
        let mut state = node.state();
        match choose(node, &mut state, now, &demand) {
            Placement::Send(key) => {
                reserve(&mut state, now, key, &service);
                return Ok(slot(key));
            }
            Placement::NoBackend => return Err(NoSlot::NoBackend),
            Placement::Wait => {}
        }
        let slots: u32 = state
            .backends
            .of_service(&service)
            .filter(|(_, b)| !b.entry.draining && distance_of(node, b) == Distance::Domain)
            .map(|(_, b)| b.entry.slots)
            .sum();
        let usual = demand.usual.time;
        let id = node.random();
        let waiter = Waiter { priority, start_deadline: latest, queued_at: now };
        let line = state.services.entry(service.clone()).or_default();
        if latest < now + SHORTEST_WAIT {
            return Err(NoSlot::Full { retry: Duration::from_secs_f64(usual) });
        }
        line.room
            .enqueue(now, id, waiter, slots, usual)
            .map_err(|rejected| NoSlot::Full { retry: rejected.retry_after })?;
        let (wake, receiver) = oneshot::channel();
        line.waiting.insert(id, Waiting { waiter, demand, wake });
        drop(state);
        (receiver, InLine { node, service: &service, id, waiter })
    };
    let wait = latest.saturating_sub(node.now());
    let mut receiver = receiver;
    let woken = tokio::time::timeout(wait, &mut receiver).await;
    drop(line);
    match woken {
        Ok(Ok(key)) => Ok(slot(key)),
        // A slot may have been given at the last moment.
        _ => match receiver.try_recv() {
            Ok(key) => Ok(slot(key)),
            Err(_) => Err(NoSlot::Full { retry: Duration::from_millis(500) }),
        },
    }
}
