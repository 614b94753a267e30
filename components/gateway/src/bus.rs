use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use dispatch::{BackendKey, Claim, Evidence, PeerHeartbeat, short_hash};
use kernel::prelude::*;
use tokio::time::sleep;

use crate::datagram::{BeatMessage, Datagram, DemandPart, EvidencePart, decode, encode};
use crate::knowledge::confirm;
use crate::node::Node;
use crate::state::OtherHome;
use crate::sync::pull;

/// Largest datagram.
const MOST_BYTES: usize = 8192;
/// Pause after a failed receive, so that a broken socket does not spin.
const RECEIVE_PAUSE: Duration = Duration::from_millis(5);
/// Age after which another home counts as lost.
const HOME_LOST: Duration = Duration::from_millis(4000);

/// Sends a datagram; a lost one is replaced by the next.
pub async fn send(node: &Node, to: SocketAddr, datagram: &Datagram) {
    if let Err(error) = node.socket.send_to(&encode(datagram), to).await {
        telemetry::event!(DATAGRAM_UNSENT, vm = to.to_string(), error = error.to_string());
    }
}

/// Addresses of the homes of other failure domains that were heard lately.
pub fn other_homes(node: &Node) -> Vec<SocketAddr> {
    let now = node.now();
    let state = node.state();
    let fresh = state.homes.values().filter(|h| h.at + HOME_LOST > now);
    fresh.map(|h| h.beat.peers).collect()
}

/// Tells the homes of other failure domains, and that of this one if it is another VM.
pub async fn notify_homes(node: &Node, datagram: &Datagram) {
    let mut to = other_homes(node);
    to.extend(own_home(node));
    for address in to {
        send(node, address, datagram).await;
    }
}

/// Address of the home of this failure domain, if it is another VM.
fn own_home(node: &Node) -> Option<SocketAddr> {
    let state = node.state();
    let home = state.election.leader().filter(|home| *home != node.vm)?;
    state.local_vms.get(&home).map(|beat| beat.peers)
}

/// Heartbeat of this VM.
pub fn own_beat(node: &Node) -> BeatMessage {
    let now = node.now();
    let boot = node.boot.load();
    let (config, backends, age, failing) = {
        let knowledge = node.knowledge();
        (knowledge.version, knowledge.backends, knowledge.age(now), knowledge.failing)
    };
    let beat = node.state().election.heartbeat(now);
    BeatMessage {
        vm: node.vm,
        domain: boot.place.domain.clone(),
        callers: boot.listen.callers.unwrap_or(boot.listen.peers),
        peers: boot.listen.peers,
        uptime_ms: now.as_millis() as u64,
        power: (beat.capacity * 100.0) as u32,
        term: beat.claim.term,
        able: beat.eligible,
        config,
        backends,
        confirmed_ms: age.as_millis() as u64,
        failing,
    }
}

/// Tells the VMs of this failure domain.
pub async fn notify_domain(node: &Node, datagram: &Datagram) {
    let addresses: Vec<SocketAddr> =
        node.state().local_vms.values().map(|beat| beat.peers).collect();
    for address in addresses {
        send(node, address, datagram).await;
    }
}

/// Sends other homes what this VM saw of backend servers since the last time.
pub async fn send_evidence(node: &Node) {
    let unsent_evidence = std::mem::take(&mut node.state().unsent_evidence);
    if unsent_evidence.is_empty() {
        return;
    }
    let parts = unsent_evidence.iter().map(|(id, (failures, successes))| EvidencePart {
        backend: short_hash(id),
        failures: *failures,
        successes: *successes,
    });
    notify_homes(node, &Datagram::Evidence(parts.collect())).await;
}

fn demand_parts(demands: Vec<(u32, f64)>) -> Vec<DemandPart> {
    let part = |(organisation, demand): (u32, f64)| DemandPart {
        organisation,
        tenths: (demand * 10.0) as u32,
    };
    demands.into_iter().map(part).collect()
}

/// Sends other homes this VM's demand, and its heartbeat if it is a home.
pub async fn send_demand(node: &Node) {
    let now = node.now();
    let demands = demand_parts(node.state().quota.demand_report(now));
    let home = node.state().election.leader() == Some(node.vm);
    if home {
        notify_homes(node, &Datagram::Home(own_beat(node), demands)).await;
    } else if !demands.is_empty() {
        notify_homes(node, &Datagram::Demand(node.vm, demands)).await;
    }
}

/// Sends other homes the demand of organisations near their rate, if it has changed.
pub async fn send_pressing_demand(node: &Node) {
    let now = node.now();
    let demands = node.state().quota.demand_changes(now);
    if !demands.is_empty() {
        notify_homes(node, &Datagram::DemandChange(node.vm, demand_parts(demands))).await;
    }
}

fn demands_of(parts: &[DemandPart]) -> impl Iterator<Item = (u32, f64)> + '_ {
    parts.iter().map(|d| (d.organisation, f64::from(d.tenths) / 10.0))
}

fn record_demand(node: &Node, now: Uptime, vm: Incarnation, demands: &[DemandPart]) {
    node.state().quota.record_report(now, vm, demands_of(demands));
}

/// Takes messages of other VMs until the process ends.
pub async fn receive(node: Arc<Node>) {
    let mut buffer = vec![0; MOST_BYTES];
    let pulling = Arc::new(AtomicBool::new(false));
    loop {
        let (length, from) = match node.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A port that is closed on the other side shows as an error here.
                telemetry::event!(DATAGRAM_DROPPED, vm = "unknown", error = error.to_string());
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(datagram) => handle(&node, from, datagram, &pulling).await,
            Err(error) => {
                let from = from.to_string();
                telemetry::event!(DATAGRAM_DROPPED, vm = from, error = error.to_string());
            }
        }
    }
}

async fn handle(node: &Arc<Node>, from: SocketAddr, datagram: Datagram, pulling: &Arc<AtomicBool>) {
    let now = node.now();
    match datagram {
        Datagram::Beat(beat) if beat.vm == node.vm => {}
        Datagram::Beat(beat) => {
            if beat.domain == node.boot.load().place.domain {
                handle_beat(node, now, &beat);
            } else {
                // A VM at its start asks a seed: tell it of the home here.
                send(node, from, &Datagram::Home(own_beat(node), Vec::new())).await;
            }
            pull_newer(node, &beat, pulling);
        }
        Datagram::Home(beat, demands) => handle_home(node, now, beat, demands, pulling).await,
        Datagram::Demand(vm, demands) => record_demand(node, now, vm, &demands),
        Datagram::DemandChange(vm, demands) => {
            node.state().quota.merge_changes(now, vm, demands_of(&demands));
        }
        Datagram::Stop(vm) => {
            let mut state = node.state();
            state.election.remove_vm(now, vm);
            state.local_vms.remove(&vm);
            drop(state);
            node.beat.notify_one();
        }
        Datagram::Evidence(parts) => apply_evidence(node, now, &parts),
        Datagram::Crash { fingerprint, deaths } => {
            node.state().crashes.merge_count(now, fingerprint, deaths);
        }
    }
}

fn handle_beat(node: &Node, now: Uptime, beat: &BeatMessage) {
    let mut state = node.state();
    // A VM that started again has a new incarnation at the same address.
    state.local_vms.retain(|vm, known| *vm == beat.vm || known.peers != beat.peers);
    let known = state.local_vms.insert(beat.vm, beat.clone()).is_some();
    let seen = now.saturating_sub(Duration::from_millis(beat.confirmed_ms));
    state.store_seen = state.store_seen.max(Some(seen));
    let home = state.election.leader();
    let claim = match beat.term {
        0 => Claim::default(),
        term => Claim { term, capacity_percent: beat.power, vm: beat.vm },
    };
    state.election.receive(
        now,
        PeerHeartbeat {
            vm: beat.vm,
            uptime: Duration::from_millis(beat.uptime_ms),
            capacity: f64::from(beat.power) / 100.0,
            claim,
            eligible: beat.able,
        },
    );
    let changed = state.election.leader() != home;
    if state.election.leader() == Some(beat.vm) {
        state.home_heard = Some(now);
    }
    drop(state);
    if !known || changed {
        node.beat.notify_one();
    }
    let same = {
        let knowledge = node.knowledge();
        (knowledge.version == beat.config, knowledge.backends == beat.backends)
    };
    confirm(node, Duration::from_millis(beat.confirmed_ms), same.0, same.1);
}

fn pull_newer(node: &Arc<Node>, beat: &BeatMessage, pulling: &Arc<AtomicBool>) {
    let newer = {
        let knowledge = node.knowledge();
        beat.config > knowledge.version || beat.backends > knowledge.backends
    };
    if !newer || pulling.swap(true, Ordering::AcqRel) {
        return;
    }
    let (node, pulling, address) = (Arc::clone(node), Arc::clone(pulling), beat.peers);
    tokio::spawn(async move {
        pull(node, address).await;
        pulling.store(false, Ordering::Release);
    });
}

async fn handle_home(
    node: &Arc<Node>,
    now: Uptime,
    beat: BeatMessage,
    demands: Vec<DemandPart>,
    pulling: &Arc<AtomicBool>,
) {
    let own = node.boot.load().place.domain.clone();
    let known = node.knowledge().version > 0;
    if !known {
        pull_newer(node, &beat, pulling);
    }
    let is_home = node.state().election.leader() == Some(node.vm);
    if !is_home && beat.domain != own {
        // Sent here because the sender does not know the home of this failure domain.
        if let Some(home) = own_home(node) {
            send(node, home, &Datagram::Home(beat.clone(), demands.clone())).await;
        }
    }
    let peers = beat.peers;
    let is_new = note_home(node, now, beat, &demands, &own);
    if is_home && is_new {
        send(node, peers, &Datagram::Home(own_beat(node), Vec::new())).await;
    }
}

/// Notes another home and its demand; returns whether it was not known as home before.
fn note_home(
    node: &Node,
    now: Uptime,
    beat: BeatMessage,
    demands: &[DemandPart],
    own: &str,
) -> bool {
    record_demand(node, now, beat.vm, demands);
    let mut state = node.state();
    if *beat.domain == *own || beat.term == 0 {
        return false;
    }
    let known = state.homes.get(&beat.domain);
    if known.is_some_and(|h| beat.term < h.beat.term && h.at + HOME_LOST > now) {
        return false;
    }
    let is_new = known.is_none_or(|h| h.beat.vm != beat.vm);
    state.homes.insert(beat.domain.clone(), OtherHome { beat, at: now });
    is_new
}

fn apply_evidence(node: &Node, now: Uptime, parts: &[EvidencePart]) {
    let mut state = node.state();
    let keys: HashMap<u32, BackendKey> =
        state.backends.iter().map(|(key, b)| (short_hash(&b.entry.id), key)).collect();
    for part in parts {
        let Some(key) = keys.get(&part.backend) else { continue };
        for _ in 0..part.failures.min(3) {
            state.backends.observe(now, *key, Evidence::Failure);
        }
        for _ in 0..part.successes.min(3) {
            state.backends.observe(now, *key, Evidence::Success);
        }
    }
}
