//! Pacing of requests to backend servers with a request limit: wakes those that wait when a token is
//! due, and exchanges permits with the owners of limits, which are the leaders of the backend servers'
//! failure domains.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use dispatch::{MAX_REMOTE_WAITERS, PaceRight, PermitAddress, StartKey};
use kernel::prelude::*;
use tokio::time::sleep;

use crate::datagram::{Datagram, LimitNotice, PermitRequest, StartId, WaitingRequest};
use crate::limits::{limits_of_domain, update_rights};
use crate::messaging::{OTHER_LEADER_TIMEOUT, domain_owner, local_leader, send};
use crate::node::Node;
use crate::placing::{assign_permit, serve_queue};
use crate::state::{PermitAsks, State};

/// Interval of asking for permits while requests wait. The owner forgets what it was asked for soon
/// after that.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of requests for permits in a row after which the owner is told again what is known of the
/// limits: it may have missed it.
const ROUNDS_BETWEEN_REPORTS: u32 = 10;
/// Age of the request for permits after which a permit is returned: this VM was paused meanwhile, and
/// the owner has counted on the requests of the others.
const MAX_PERMIT_AGE: Duration = Duration::from_millis(600);
/// Longest sleep of the task, which is woken when something changes.
const MAX_SLEEP: Duration = Duration::from_secs(5);
/// Shortest sleep of the task.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// Maximum number of limits that are told to an owner together with a request for permits.
const MAX_TOLD_LIMITS: usize = 16;

/// A message to be sent.
type Outgoing = (SocketAddr, Datagram);

/// Wakes requests that wait for a token, asks for permits and sends those that others asked for, until
/// the process ends.
pub async fn pace_requests(node: Arc<Node>) {
    loop {
        let now = node.now();
        let (next, outgoing) = {
            let mut state = node.state();
            let next = serve_due(&node, &mut state, now);
            let mut outgoing = take_permits(&mut state);
            outgoing.extend(ask_for_permits(&node, &mut state, now));
            (next, outgoing)
        };
        for (address, datagram) in outgoing {
            send(&node, address, &datagram).await;
        }
        let wait = next.saturating_sub(now).clamp(MIN_SLEEP, MAX_SLEEP);
        tokio::select! {
            () = sleep(wait) => {}
            () = node.pace_wake.notified() => {}
        }
    }
}

/// Serves the queues of services with limits. Returns when a token is due next or permits are asked
/// for again.
fn serve_due(node: &Arc<Node>, state: &mut State, now: Uptime) -> Uptime {
    let waiting = state.services.iter().filter(|(_, service)| !service.queue.is_empty());
    let mut services: BTreeSet<ServiceId> = waiting.map(|(name, _)| name.clone()).collect();
    services.extend(state.permit_requests.services(now));
    let mut next = now + MAX_SLEEP;
    for service in services {
        if !update_rights(node, state, now, &service) {
            continue;
        }
        serve_queue(node, state, now, &service);
        let still_waits = state.services.get(&service).is_some_and(|s| !s.queue.is_empty());
        if still_waits {
            next = next.min(now + ASK_INTERVAL);
        }
        if still_waits || !state.permit_requests.waiting(now, &service).is_empty() {
            let paces = state.backends.of_service(&service).filter_map(|(_, b)| b.pace);
            // A token that is there already waits for a slot, which serves the queue as well.
            let due = paces.filter_map(|pace| pace.next_token_at(now)).filter(|at| *at > now);
            next = due.fold(next, Uptime::min);
        }
    }
    next
}

/// Takes the permits that were given to other VMs, by VM.
fn take_permits(state: &mut State) -> Vec<Outgoing> {
    let mut by_vm: BTreeMap<(SocketAddr, u64), Vec<StartId>> = BTreeMap::new();
    for (PermitAddress { address, stamp_ms }, start) in state.unsent_permits.drain(..) {
        by_vm.entry((address, stamp_ms)).or_default().push(start);
    }
    let message = |((address, stamp_ms), starts)| (address, Datagram::Permits { stamp_ms, starts });
    by_vm.into_iter().map(message).collect()
}

/// Address of the VM that is asked for permits of a failure domain.
fn owner_address(node: &Node, state: &State, now: Uptime, domain: &str) -> Option<SocketAddr> {
    if *node.boot_config.load().place.domain != *domain {
        let leader = state.other_leaders.get(domain)?;
        let is_heard = leader.received_at + OTHER_LEADER_TIMEOUT > now;
        return is_heard.then_some(leader.heartbeat.peers);
    }
    domain_owner(node, state, now)
}

/// Asks for permits for the requests that wait: the owner in this failure domain first, and the others
/// if that was not enough.
fn ask_for_permits(node: &Node, state: &mut State, now: Uptime) -> Vec<Outgoing> {
    let mut outgoing = Vec::new();
    let own = node.boot_config.load().place.domain.clone();
    let names: Vec<ServiceId> = state.services.keys().cloned().collect();
    for name in names {
        let Some(service) = state.services.get_mut(&name) else { continue };
        if service.queue.is_empty() {
            // A pause begins a new row.
            if service.asks.last.is_some_and(|at| now.saturating_sub(at) >= 2 * ASK_INTERVAL) {
                service.asks =
                    PermitAsks { brief_waits: service.asks.brief_waits, ..PermitAsks::default() };
            }
            continue;
        }
        if service.asks.last.is_some_and(|at| now.saturating_sub(at) < ASK_INTERVAL) {
            continue;
        }
        let waiting: Vec<WaitingRequest> = service
            .queue
            .waiters()
            .take(MAX_REMOTE_WAITERS)
            .map(|(priority, deadline)| WaitingRequest {
                priority,
                left_ms: deadline.saturating_sub(now).as_millis() as u32,
            })
            .collect();
        let round = service.asks.round;
        service.asks.last = Some(now);
        service.asks.round = round.saturating_add(1);
        let by_permit = state.backends.of_service(&name).filter(|(_, backend)| {
            backend.pace.is_some_and(|pace| pace.right() == PaceRight::Permit)
        });
        let domains: BTreeSet<DomainId> =
            by_permit.map(|(_, backend)| backend.entry.domain.clone()).collect();
        for domain in domains.iter().filter(|domain| round > 0 || **domain == own) {
            let Some(owner) = owner_address(node, state, now, domain) else { continue };
            if round % ROUNDS_BETWEEN_REPORTS == u32::from(*domain != own) {
                let limits: Vec<LimitNotice> = limits_of_domain(state, now, domain, Some(&name))
                    .into_iter()
                    .take(MAX_TOLD_LIMITS)
                    .collect();
                outgoing.push((owner, Datagram::Limits(limits)));
            }
            let request = PermitRequest {
                vm: node.incarnation,
                reply: node.boot_config.load().listen.peers,
                stamp_ms: now.as_millis() as u64,
                service: name.clone(),
                waiting: waiting.clone(),
                forwarded: false,
            };
            outgoing.push((owner, Datagram::PermitRequest(request)));
        }
    }
    outgoing
}

/// Handles a request for permits: the leader grants them as tokens become due, in the order in which
/// the requests of all VMs start. Another VM passes it on to the leader once.
pub async fn receive_request(node: &Arc<Node>, request: PermitRequest) {
    let now = node.now();
    let leader = {
        let mut state = node.state();
        if state.election.leads() {
            let reply = PermitAddress { address: request.reply, stamp_ms: request.stamp_ms };
            let waiting = request
                .waiting
                .iter()
                .map(|w| (w.priority, now + Duration::from_millis(w.left_ms.into())));
            state.permit_requests.record(now, request.service.clone(), request.vm, reply, waiting);
            node.pace_wake.notify_one();
            return;
        }
        local_leader(node, &state).filter(|_| !request.forwarded)
    };
    if let Some(leader) = leader {
        let request = PermitRequest { forwarded: true, ..request };
        send(node, leader, &Datagram::PermitRequest(request)).await;
    }
}

/// Handles permits: each is for one request that waits. Those that nothing waits for are returned.
pub async fn receive_permits(
    node: &Arc<Node>,
    sender: SocketAddr,
    stamp_ms: u64,
    starts: Vec<StartKey>,
) {
    let now = node.now();
    let is_recent = now.saturating_sub(Duration::from_millis(stamp_ms)) <= MAX_PERMIT_AGE;
    let count = starts.len();
    let unused: Vec<StartKey> = {
        let mut state = node.state();
        let is_unused = |start: &StartKey| !is_recent || !assign_permit(&mut state, now, *start);
        starts.into_iter().filter(is_unused).collect()
    };
    node.metrics.record_permits(count, unused.len());
    if !unused.is_empty() {
        send(node, sender, &Datagram::UnusedPermits(unused)).await;
    }
}

/// Takes back permits that another VM did not use.
pub fn receive_unused(node: &Node, starts: &[StartId]) {
    let mut state = node.state();
    for start in starts {
        state.backends.return_permit(*start);
    }
    node.pace_wake.notify_one();
}
