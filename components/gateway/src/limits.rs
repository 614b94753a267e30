//! Request limits that backend servers name in their responses.

use adapter::ResponseHead;
use dispatch::{BackendKey, StatedLimit};
use kernel::prelude::*;

use crate::node::Node;

/// Interval of logging the requests to backend servers with a request limit.
const LOG_INTERVAL: Duration = Duration::from_secs(4);

/// Counts a request that is sent to a backend server.
pub fn count_send(node: &Node, key: BackendKey) {
    if let Some(backend) = node.state().backends.get_mut(key) {
        backend.unreported_sends = backend.unreported_sends.saturating_add(1);
    }
}

/// Records what a response says about the request limit of its backend server.
pub fn record_limit(node: &Node, key: BackendKey, head: &ResponseHead) {
    if head.misdirected {
        return;
    }
    let mut state = node.state();
    let Some(backend) = state.backends.get_mut(key) else { return };
    let limit = match head.limit {
        StatedLimit::Absent => None,
        StatedLimit::Named(limit) => Some(limit),
        StatedLimit::Unreadable => {
            telemetry::event!(LIMIT_UNREADABLE, backend = backend.entry.id);
            return;
        }
    };
    let previous = std::mem::replace(&mut backend.limit, limit);
    if previous == limit {
        return;
    }
    let previous = previous.map(|limit| limit.per_second());
    match limit {
        Some(limit) => telemetry::event!(
            BACKEND_LIMITED,
            backend = backend.entry.id,
            service = backend.entry.service,
            limit = limit.per_second(),
            previous = previous,
        ),
        None => {
            telemetry::event!(LIMIT_ENDED, backend = backend.entry.id, previous = previous)
        }
    }
}

/// Logs how many requests this VM has sent to each backend server with a request limit.
pub fn report_limited(node: &Node) {
    let now = node.now();
    let mut state = node.state();
    let since = now.saturating_sub(state.limits_logged_at);
    if since < LOG_INTERVAL {
        return;
    }
    state.limits_logged_at = now;
    let (mut limited, mut sends) = (0, 0);
    for (_, backend) in state.backends.iter_mut() {
        let sent = std::mem::take(&mut backend.unreported_sends);
        let Some(limit) = backend.limit else { continue };
        limited += 1;
        sends += sent;
        telemetry::event!(
            LIMITED_LOAD,
            backend = backend.entry.id,
            limit = limit.per_second(),
            sent = sent,
            within_ms = since.as_millis() as u64,
        );
    }
    drop(state);
    node.metrics.record_limited(limited, sends);
}
