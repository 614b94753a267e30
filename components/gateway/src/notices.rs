//! What backend servers say about themselves in their responses, told to the other VMs.

use adapter::ResponseHead;
use dispatch::{BackendKey, Notice, StartKey};
use kernel::prelude::*;

use crate::datagram::{BackendNotice, Datagram};
use crate::messaging::{notify_domain, notify_leaders};
use crate::node::Node;

/// Maximum number of notices in a datagram.
const MAX_NOTICES: usize = 64;

/// Records what a response says about its backend server.
pub fn record_notice(node: &Node, key: BackendKey, head: &ResponseHead) {
    if head.misdirected || (!head.leaving && head.pause.is_none()) {
        return;
    }
    let now = node.now();
    let mut notice = head.pause.map(|pause| Notice::pause(now, pause)).unwrap_or_default();
    if head.leaving {
        notice.merge(Notice::leaving());
    }
    let mut state = node.state();
    let Some(start) = state.backends.record_notice(now, key, notice) else { return };
    state.unsent_notices.insert(start);
    let backend = state.backends.get(key).map(|b| b.entry.id.clone()).unwrap_or_default();
    drop(state);
    if head.leaving {
        telemetry::event!(BACKEND_LEAVING, backend = backend);
    }
    if let Some(pause) = head.pause {
        let in_force = notice.paused_until.saturating_sub(now);
        telemetry::event!(
            BACKEND_PAUSED,
            backend = backend,
            asked_ms = pause.as_millis() as u64,
            pause_ms = in_force.as_millis() as u64,
        );
    }
}

fn encode_notice(now: Uptime, (start, notice): (StartKey, Notice)) -> BackendNotice {
    BackendNotice {
        backend: start.0,
        started_ms: start.1,
        leaving: notice.leaving,
        pause_ms: notice.paused_until.saturating_sub(now).as_millis() as u64,
    }
}

/// Notices in force, for a VM that syncs.
pub fn active_notices(node: &Node) -> Vec<BackendNotice> {
    let now = node.now();
    node.state().backends.active_notices(now).map(|active| encode_notice(now, active)).collect()
}

/// Merges what another VM reports.
pub fn merge_notices(node: &Node, notices: &[BackendNotice]) {
    let now = node.now();
    let mut state = node.state();
    for item in notices {
        let mut notice = Notice::pause(now, Duration::from_millis(item.pause_ms));
        notice.leaving = item.leaving;
        state.backends.merge_notice(now, (item.backend, item.started_ms), notice);
    }
}

/// Sends the new notices: all inside the failure domain, those of leaving backend servers to the
/// leaders. A pause holds for the VMs that take over from this one, not for other domains.
pub async fn send_notices(node: &Node) {
    let now = node.now();
    let notices: Vec<BackendNotice> = {
        let mut state = node.state();
        if state.unsent_notices.is_empty() {
            return;
        }
        let unsent = std::mem::take(&mut state.unsent_notices);
        let active = state.backends.active_notices(now);
        active.filter(|(key, _)| unsent.contains(key)).map(|n| encode_notice(now, n)).collect()
    };
    for part in notices.chunks(MAX_NOTICES) {
        notify_domain(node, &Datagram::Notices(part.to_vec())).await;
        let leaving: Vec<_> = part.iter().filter(|n| n.leaving).cloned().collect();
        if !leaving.is_empty() {
            notify_leaders(node, &Datagram::Notices(leaving)).await;
        }
    }
}
