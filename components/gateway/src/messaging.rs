use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use dispatch::{
    Announcement, BackendKey, DataVersions, Evidence, LeaderClaim, PeerHeartbeat, short_hash,
};
use kernel::prelude::*;
use tokio::time::sleep;

use crate::crashes::{receive_crashes, send_all_crashes};
use crate::datagram::{
    BackendEvidence, Datagram, HeartbeatMessage, OrganisationDemand, decode, encode,
};
use crate::limits::{receive_limits, send_limits_of_domain};
use crate::node::Node;
use crate::notices::merge_notices;
use crate::pacing::{receive_permits, receive_request, receive_unused};
use crate::rates;
use crate::state::{OtherLeader, State};
use crate::store_cache::record_confirmation;

/// Number of VMs of a failure domain that are told of request limits. Others hear of them when they
/// serve a caller or become leader.
const MAX_SUCCESSORS: usize = 32;
/// Number of VMs of a failure domain that tell a new one what it missed.
const MAX_INTRODUCERS: usize = 3;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8192;
/// Delay after a failed receive, so that a broken socket causes no busy loop.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Time without a heartbeat after which the leader of another failure domain counts as lost.
pub const OTHER_LEADER_TIMEOUT: Duration = Duration::from_millis(4000);

/// Sends a datagram. A lost one is not repeated, since the next one replaces it.
pub async fn send(node: &Node, to: SocketAddr, datagram: &Datagram) {
    if let Err(error) = node.socket.send_to(&encode(datagram), to).await {
        telemetry::event!(DATAGRAM_UNSENT, vm = to.to_string(), error = error.to_string());
    }
}

/// Addresses of the live leaders of other failure domains.
pub fn other_leader_addresses(node: &Node) -> Vec<SocketAddr> {
    let now = node.now();
    let state = node.state();
    let fresh = state
        .other_leaders
        .values()
        .filter(|leader| leader.received_at + OTHER_LEADER_TIMEOUT > now);
    fresh.map(|leader| leader.heartbeat.peers).collect()
}

/// Sends a datagram to the leaders of all failure domains, except to this VM itself.
pub async fn notify_leaders(node: &Node, datagram: &Datagram) {
    let mut addresses = other_leader_addresses(node);
    addresses.extend(local_leader(node, &node.state()));
    for address in addresses {
        send(node, address, datagram).await;
    }
}

/// Address of the leader of this failure domain, if it is another VM.
pub fn local_leader(node: &Node, state: &State) -> Option<SocketAddr> {
    let leader = state.election.leader().filter(|leader| *leader != node.incarnation)?;
    state.local_vms.get(&leader).map(|heartbeat| heartbeat.peers)
}

/// Address of the VM that is asked for what the leader of this failure domain owns.
pub fn domain_owner(node: &Node, state: &State, now: Uptime) -> Option<SocketAddr> {
    local_leader(node, state).or_else(|| {
        // A stopping VM does not hear the new leader at once. It is probably the one of the best rank.
        let vms = state.election.eligible_vms(now);
        let first = vms.into_iter().find(|vm| *vm != node.incarnation)?;
        state.local_vms.get(&first).map(|heartbeat| heartbeat.peers)
    })
}

/// Builds the heartbeat of this VM.
pub fn own_heartbeat(node: &Node) -> HeartbeatMessage {
    let now = node.now();
    let boot_config = node.boot_config.load();
    let (config_version, backends_version, age, store_failing) = {
        let cache = node.cache();
        (cache.config_version(), cache.backends_version, cache.staleness(now), cache.store_failing)
    };
    let heartbeat = node.state().election.heartbeat(now);
    HeartbeatMessage {
        incarnation: node.incarnation,
        domain: boot_config.place.domain.clone(),
        callers: boot_config.listen.callers.unwrap_or(boot_config.listen.peers),
        peers: boot_config.listen.peers,
        uptime_ms: now.as_millis() as u64,
        capacity_percent: (heartbeat.capacity * 100.0) as u32,
        term: heartbeat.claim.term,
        eligible: heartbeat.eligible,
        config_version,
        backends_version,
        confirmed_ms: age.as_millis() as u64,
        store_failing,
    }
}

/// Sends a datagram to the other VMs of this failure domain, also to those that stop.
pub async fn notify_domain(node: &Node, datagram: &Datagram) {
    let (now, grace) = (node.now(), node.boot_config.load().fleet_limits.grace_period);
    let addresses: BTreeSet<SocketAddr> = {
        let mut state = node.state();
        state.leaving_vms.retain(|_, at| now.saturating_sub(*at) < grace);
        let vms = state.local_vms.values().map(|heartbeat| heartbeat.peers);
        vms.chain(state.leaving_vms.keys().copied()).collect()
    };
    for address in addresses {
        send(node, address, datagram).await;
    }
}

/// Sends a datagram to the VMs of this failure domain that may lead it next.
pub async fn notify_successors(node: &Node, datagram: &Datagram) {
    let now = node.now();
    let addresses: Vec<SocketAddr> = {
        let state = node.state();
        let vms = state.election.eligible_vms(now).into_iter().take(MAX_SUCCESSORS);
        vms.filter_map(|vm| state.local_vms.get(&vm)).map(|heartbeat| heartbeat.peers).collect()
    };
    for address in addresses {
        send(node, address, datagram).await;
    }
}

/// Sends the leaders the evidence about backend servers since the last message.
pub async fn send_evidence(node: &Node) {
    let unsent_evidence = std::mem::take(&mut node.state().unsent_evidence);
    if unsent_evidence.is_empty() {
        return;
    }
    let evidence = unsent_evidence.iter().map(|(id, (failures, successes))| BackendEvidence {
        backend: short_hash(id),
        failures: *failures,
        successes: *successes,
    });
    notify_leaders(node, &Datagram::Evidence(evidence.collect())).await;
}

/// Sends a leader's heartbeat to the seeds while the leader of a failure domain is unknown. A seed
/// that is no leader forwards it to its own. The leaders are listed in the store as well, but the
/// store may refuse this VM.
async fn notify_seeds(node: &Node, datagram: &Datagram) {
    let boot_config = node.boot_config.load_full();
    let known = other_leader_addresses(node);
    if known.len() + 1 >= boot_config.domain_regions.len() {
        return;
    }
    let own = boot_config.listen.peers;
    for seed in boot_config.seeds.iter().filter(|seed| **seed != own && !known.contains(seed)) {
        send(node, *seed, datagram).await;
    }
}

fn encode_demands(demands: Vec<(u32, f64)>) -> Vec<OrganisationDemand> {
    let encode_one = |(organisation, demand): (u32, f64)| OrganisationDemand {
        organisation,
        tenths: (demand * 10.0) as u32,
    };
    demands.into_iter().map(encode_one).collect()
}

/// Sends the leaders this VM's demand, together with its heartbeat if it is a leader.
pub async fn send_demand(node: &Node) {
    let now = node.now();
    let demands = encode_demands(node.state().quota.demand_report(now));
    let is_leader = node.state().election.leader() == Some(node.incarnation);
    if is_leader {
        let datagram = Datagram::LeaderHeartbeat(own_heartbeat(node), demands);
        notify_leaders(node, &datagram).await;
        notify_seeds(node, &datagram).await;
    } else if !demands.is_empty() {
        notify_leaders(node, &Datagram::Demand(node.incarnation, demands)).await;
    }
}

/// Sends the leaders the changed demand of organisations near their rate limit.
pub async fn send_demand_changes(node: &Node) {
    let now = node.now();
    let demands = node.state().quota.demand_changes(now);
    if !demands.is_empty() {
        notify_leaders(node, &Datagram::DemandChange(node.incarnation, encode_demands(demands)))
            .await;
    }
}

fn decode_demands(demands: &[OrganisationDemand]) -> impl Iterator<Item = (u32, f64)> + '_ {
    demands.iter().map(|d| (d.organisation, f64::from(d.tenths) / 10.0))
}

/// Records the demand of a VM; `domain` is the failure domain of a leader of another one.
fn record_demand(
    node: &Node,
    now: Uptime,
    vm: Incarnation,
    domain: Option<&str>,
    demands: &[OrganisationDemand],
) {
    node.state().quota.record_report(now, vm, domain, decode_demands(demands));
}

/// Receives datagrams of other VMs until the process ends.
pub async fn receive(node: Arc<Node>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match node.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A datagram sent to a closed port is reported here as an error.
                telemetry::event!(DATAGRAM_DROPPED, vm = "unknown", error = error.to_string());
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(datagram) => handle(&node, sender, datagram).await,
            Err(error) => {
                let sender = sender.to_string();
                telemetry::event!(DATAGRAM_DROPPED, vm = sender, error = error.to_string());
            }
        }
    }
}

async fn handle(node: &Arc<Node>, sender: SocketAddr, datagram: Datagram) {
    let now = node.now();
    match datagram {
        Datagram::Heartbeat(heartbeat) if heartbeat.incarnation == node.incarnation => {}
        Datagram::Heartbeat(heartbeat) => {
            let is_remote = heartbeat.domain != node.boot_config.load().place.domain;
            if !is_remote {
                let is_new = handle_heartbeat(node, now, &heartbeat);
                if is_new {
                    introduce_vm(node, now, heartbeat.peers).await;
                }
            } else {
                // A starting VM of another failure domain uses this VM as a seed. The reply lets it
                // pull the configuration, and tells it the leader here if that is this VM.
                send(node, sender, &Datagram::LeaderHeartbeat(own_heartbeat(node), Vec::new()))
                    .await;
            }
            record_source(node, now, &heartbeat, is_remote);
        }
        Datagram::LeaderHeartbeat(heartbeat, demands) => {
            handle_leader(node, now, heartbeat, demands).await
        }
        Datagram::Demand(vm, demands) => record_demand(node, now, vm, None, &demands),
        Datagram::DemandChange(vm, demands) => {
            node.state().quota.merge_changes(now, vm, decode_demands(&demands));
        }
        Datagram::Stop(vm) => {
            let mut state = node.state();
            state.election.remove_vm(now, vm);
            state.domain_share.remove_vm(vm);
            if let Some(heartbeat) = state.local_vms.remove(&vm) {
                state.leaving_vms.insert(heartbeat.peers, now);
            }
            state.pull_sources.remove(vm);
            drop(state);
            node.heartbeat_wake.notify_one();
        }
        Datagram::Notices(notices) => merge_notices(node, &notices),
        Datagram::Limits(limits) => receive_limits(node, sender, &limits).await,
        Datagram::PermitRequest(request) => receive_request(node, request).await,
        Datagram::Permits { stamp_ms, starts } => {
            receive_permits(node, sender, stamp_ms, starts).await;
        }
        Datagram::UnusedPermits(starts) => receive_unused(node, &starts),
        Datagram::Evidence(evidence) => apply_evidence(node, now, &evidence),
        Datagram::Crash { .. } => {}
        Datagram::TokenRequest(request) => rates::receive_request(node, request).await,
        Datagram::Token { id, refused_ms } => rates::receive_token(node, id, refused_ms),
        Datagram::Charges(charges) => rates::receive_charges(node, &charges),
        Datagram::Crashes(crashes) => receive_crashes(node, &crashes).await,
    }
}

/// Tells a VM of this failure domain that was not known before what it missed. The leader does, and
/// those that may have to take over from it at this moment.
async fn introduce_vm(node: &Node, now: Uptime, vm: SocketAddr) {
    let eligible = node.state().election.eligible_vms(now);
    if eligible.into_iter().take(MAX_INTRODUCERS).any(|vm| vm == node.incarnation) {
        send_all_crashes(node, vm).await;
    }
}

/// Records a heartbeat of another VM of this failure domain; returns whether the VM is new.
fn handle_heartbeat(node: &Node, now: Uptime, heartbeat: &HeartbeatMessage) -> bool {
    let mut state = node.state();
    // A restarted VM has a new incarnation at the same address.
    let (incarnation, peers) = (heartbeat.incarnation, heartbeat.peers);
    let is_replaced =
        |vm: Incarnation, known: &HeartbeatMessage| vm != incarnation && known.peers == peers;
    let replaced: Vec<Incarnation> = state
        .local_vms
        .iter()
        .filter(|(vm, known)| is_replaced(**vm, known))
        .map(|(vm, _)| *vm)
        .collect();
    for vm in replaced {
        state.local_vms.remove(&vm);
        state.pull_sources.remove(vm);
        state.domain_share.remove_vm(vm);
    }
    state.domain_share.record_heartbeat(now, incarnation, heartbeat.term > 0);
    let known = state.local_vms.insert(heartbeat.incarnation, heartbeat.clone()).is_some();
    let responded_at = now.saturating_sub(Duration::from_millis(heartbeat.confirmed_ms));
    state.store_seen = state.store_seen.max(Some(responded_at));
    let leader = state.election.leader();
    let claim = match heartbeat.term {
        0 => LeaderClaim::default(),
        term => LeaderClaim {
            term,
            capacity_percent: heartbeat.capacity_percent,
            vm: heartbeat.incarnation,
        },
    };
    state.election.receive(
        now,
        PeerHeartbeat {
            vm: heartbeat.incarnation,
            uptime: Duration::from_millis(heartbeat.uptime_ms),
            capacity: f64::from(heartbeat.capacity_percent) / 100.0,
            claim,
            eligible: heartbeat.eligible,
        },
    );
    let changed = state.election.leader() != leader;
    if state.election.leader() == Some(heartbeat.incarnation) {
        state.leader_seen = Some(now);
    }
    drop(state);
    if !known || changed {
        node.heartbeat_wake.notify_one();
    }
    if changed {
        node.leader_changed.notify_waiters();
    }
    let same = {
        let cache = node.cache();
        (
            cache.config_version() == heartbeat.config_version,
            cache.backends_version == heartbeat.backends_version,
        )
    };
    record_confirmation(node, Duration::from_millis(heartbeat.confirmed_ms), same.0, same.1);
    !known
}

/// Records what a VM holds, and wakes the task that pulls if something is newer.
fn record_source(node: &Node, now: Uptime, heartbeat: &HeartbeatMessage, is_remote: bool) {
    let versions =
        DataVersions { config: heartbeat.config_version, backends: heartbeat.backends_version };
    let (vm, address) = (heartbeat.incarnation, heartbeat.peers);
    let announcement = Announcement { vm, address, versions, is_remote };
    let is_first = node.state().pull_sources.record(now, announcement);
    let held = node.cache().versions();
    if is_first && versions.config > held.config {
        let (version, vm) = (versions.config, address.to_string());
        telemetry::event!(KNOWLEDGE_HEARD, version = version, held = held.config, vm = vm);
    }
    if versions.is_newer_than(held) {
        node.pull_wake.notify_one();
    }
}

async fn handle_leader(
    node: &Arc<Node>,
    now: Uptime,
    heartbeat: HeartbeatMessage,
    demands: Vec<OrganisationDemand>,
) {
    let own_domain = node.boot_config.load().place.domain.clone();
    record_source(node, now, &heartbeat, heartbeat.domain != own_domain);
    let is_leader = node.state().election.leader() == Some(node.incarnation);
    if !is_leader && heartbeat.domain != own_domain {
        // The sender does not know the leader of this failure domain, so forward the message.
        let leader = local_leader(node, &node.state());
        if let Some(leader) = leader {
            send(node, leader, &Datagram::LeaderHeartbeat(heartbeat.clone(), demands.clone()))
                .await;
        }
    }
    let (peers, domain) = (heartbeat.peers, heartbeat.domain.clone());
    let is_new = record_leader(node, now, heartbeat, &demands, &own_domain);
    if is_leader && is_new {
        send(node, peers, &Datagram::LeaderHeartbeat(own_heartbeat(node), Vec::new())).await;
        send_limits_of_domain(node, peers, &domain).await;
        send_all_crashes(node, peers).await;
    }
}

/// Records the leader of another failure domain and its demand; returns whether it is a new one.
fn record_leader(
    node: &Node,
    now: Uptime,
    heartbeat: HeartbeatMessage,
    demands: &[OrganisationDemand],
    own_domain: &str,
) -> bool {
    let leads_other = heartbeat.term > 0 && *heartbeat.domain != *own_domain;
    let domain = leads_other.then_some(&*heartbeat.domain);
    record_demand(node, now, heartbeat.incarnation, domain, demands);
    let mut state = node.state();
    if *heartbeat.domain == *own_domain || heartbeat.term == 0 {
        return false;
    }
    let known = state.other_leaders.get(&heartbeat.domain);
    if known.is_some_and(|leader| {
        heartbeat.term < leader.heartbeat.term && leader.received_at + OTHER_LEADER_TIMEOUT > now
    }) {
        return false;
    }
    let is_new = known.is_none_or(|leader| leader.heartbeat.incarnation != heartbeat.incarnation);
    state
        .other_leaders
        .insert(heartbeat.domain.clone(), OtherLeader { heartbeat, received_at: now });
    is_new
}

fn apply_evidence(node: &Node, now: Uptime, evidence: &[BackendEvidence]) {
    let mut state = node.state();
    let keys: HashMap<u32, BackendKey> =
        state.backends.iter().map(|(key, b)| (short_hash(&b.entry.id), key)).collect();
    for item in evidence {
        let Some(key) = keys.get(&item.backend) else { continue };
        for _ in 0..item.failures.min(3) {
            state.backends.observe(now, *key, Evidence::Failure);
        }
        for _ in 0..item.successes.min(3) {
            state.backends.observe(now, *key, Evidence::Success);
        }
    }
}
