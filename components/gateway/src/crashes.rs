//! Requests during which backend servers crashed, told to the other VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use dispatch::{BackendEntry, BackendKey, Crash, Notices};
use kernel::prelude::*;

use crate::datagram::{CrashNotice, Datagram};
use crate::exchange::is_alive;
use crate::messaging::{notify_domain, other_leader_addresses, send};
use crate::node::Node;
use crate::relay;

/// Timeout for checking whether a backend server that broke a connection accepts a new one.
const ALIVE_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of crashes in a datagram.
const MAX_CRASH_NOTICES: usize = 64;
/// Retry-After of a request that is refused because backend servers crashed while they ran it.
const CRASH_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Refusal of a request during which backend servers have crashed.
pub fn crash_refusal() -> Refusal {
    let message = "backend servers died while they ran this request; do not send it again";
    Refusal::not_run(RefusalKind::CrashSuspect, message).retry_after(CRASH_RETRY_AFTER)
}

/// Checks whether a backend server that broke the connection of a request has crashed, and if so
/// records it and tells the other VMs.
///
/// Ends after these know, so that a caller that is answered then is refused by them. Run as a task
/// of its own, since a crash must be recorded although the caller has left or its time has ended.
pub async fn check_crash(
    node: Arc<Node>,
    fingerprint: u64,
    request_id: Box<str>,
    key: BackendKey,
    entry: BackendEntry,
    via: Option<Incarnation>,
) {
    let is_alive = match via {
        None => is_alive(entry.address, ALIVE_CHECK_TIMEOUT).await,
        // The direct connection did not work before; a relay that does not answer says nothing.
        Some(vm) => relay::can_connect(&node, vm, &entry.id).await.unwrap_or(true),
    };
    if is_alive {
        return;
    }
    let now = node.now();
    let crashes = {
        let mut state = node.state();
        if let Some(backend) = state.backends.get_mut(key).filter(|_| via.is_none()) {
            backend.record_unreachable(now);
        }
        state.crash_suspects.record(now, fingerprint, Notices::key(&entry))
    };
    node.pools.close(key);
    telemetry::event!(BACKEND_DIED, request = request_id, backend = entry.id, deaths = crashes);
    report_crashes(&node).await;
}

fn encode_crash(now: Uptime, crash: Crash) -> CrashNotice {
    CrashNotice {
        fingerprint: crash.fingerprint,
        backend: crash.start.0,
        started_ms: crash.start.1,
        age_ms: now.saturating_sub(crash.at).as_millis() as u64,
        cleared: crash.cleared,
    }
}

fn decode_crash(now: Uptime, notice: &CrashNotice) -> Crash {
    Crash {
        fingerprint: notice.fingerprint,
        start: (notice.backend, notice.started_ms),
        at: now.saturating_sub(Duration::from_millis(notice.age_ms)),
        cleared: notice.cleared,
    }
}

fn datagrams(now: Uptime, crashes: &[Crash]) -> Vec<Datagram> {
    let datagram = |part: &[Crash]| {
        Datagram::Crashes(part.iter().map(|crash| encode_crash(now, *crash)).collect())
    };
    crashes.chunks(MAX_CRASH_NOTICES).map(datagram).collect()
}

/// Sends the crashes whose reports are due to the failure domain and to the leaders of the others.
/// The leader passes on what it hears, since the other VMs do not know the leaders.
pub async fn report_crashes(node: &Node) {
    let now = node.now();
    let due = {
        let mut state = node.state();
        let leads = state.election.leads();
        state.crash_suspects.take_reports(now, leads)
    };
    for datagram in datagrams(now, &due) {
        notify_domain(node, &datagram).await;
        for leader in other_leader_addresses(node) {
            send(node, leader, &datagram).await;
        }
    }
}

/// Merges the crashes that another VM reports. The leader passes on at once what is new.
pub async fn receive_crashes(node: &Node, notices: &[CrashNotice]) {
    let now = node.now();
    let is_new = {
        let mut state = node.state();
        let crashes = notices.iter().map(|notice| decode_crash(now, notice));
        crashes.filter(|crash| state.crash_suspects.merge(now, *crash)).count() > 0
    };
    if is_new {
        report_crashes(node).await;
    }
}

/// Tells a VM that was not known before of all crashes that are remembered.
pub async fn send_all_crashes(node: &Node, vm: SocketAddr) {
    let now = node.now();
    let crashes: Vec<Crash> = node.state().crash_suspects.active(now).collect();
    for datagram in datagrams(now, &crashes) {
        send(node, vm, &datagram).await;
    }
}
