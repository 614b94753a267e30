use dispatch::{BackendKey, Evidence};
use kernel::prelude::*;

use crate::attempts::Admitted;
use crate::exchange::{BackendResponse, SendOutcome};
use crate::node::Node;

/// Cause of an attempt that was not sent because its pooled connection had been closed.
pub const STALE_CAUSE: &str = "the idle connection was closed";

/// An attempt that has ended.
pub struct Attempt {
    /// Backend server that it was for.
    pub key: BackendKey,
    /// Its id.
    pub backend: BackendId,
    /// Relay VM through which it was sent; `None` if it was sent directly.
    pub via: Option<Incarnation>,
    /// How it ended.
    pub outcome: SendOutcome,
}

/// Health evidence in a response; `None` if the backend server refused to run the request.
fn evidence(response: &BackendResponse) -> Option<Evidence> {
    if response.head.not_run || response.head.pause.is_some() {
        return None;
    }
    Some(match response.status.as_u16() {
        // The deadline expired at the backend server.
        504 => Evidence::Overdue,
        500..=599 => Evidence::Failure,
        _ => Evidence::Success,
    })
}

/// Records what an attempt says about its backend server, and logs it if it failed.
pub fn record_attempt(node: &Node, req: &Admitted, attempt: &Attempt, elapsed: Duration) {
    let Attempt { key, via, backend, outcome } = attempt;
    let (key, via) = (*key, *via);
    let now = node.now();
    let mut state = node.state();
    let (observed, cause) = match outcome {
        SendOutcome::Completed(response) => {
            if response.head.misdirected {
                state.backends.remove(key);
                telemetry::event!(BACKEND_REPLACED, backend = backend);
                return;
            }
            if let Some(backend) = state.backends.get_mut(key) {
                if via.is_none() {
                    backend.record_reachable();
                }
                if let Some(load) = response.head.load {
                    backend.record_load(now, load.running, load.queued);
                }
                // A refusal without a load report counts as one of a full backend server.
                let full = response.head.load.is_none_or(|load| load.queued > 0);
                if response.head.pause.is_some() {
                    // The pause says more than the refusal.
                } else if response.head.not_run && full {
                    backend.last_full = Some(now);
                } else {
                    backend.shed_rate.observe(now, response.head.not_run);
                }
            }
            let observed = evidence(response);
            if observed == Some(Evidence::Success) {
                state.crash_suspects.clear(now, req.fingerprint);
                let estimate = state.estimates.entry(req.route.id.clone()).or_default();
                let ratio = elapsed.as_secs_f64() / estimate.time_s.max(0.001);
                estimate.record(elapsed, req.outgoing.body.len() + response.body.len());
                if let Some(backend) = state.backends.get_mut(key) {
                    backend.health.observe_latency(now, ratio);
                }
            }
            (observed, response.status.as_str().to_owned())
        }
        SendOutcome::Unsent(cause) => {
            if let Some(backend) = state.backends.get_mut(key) {
                backend.refund();
                backend.reachability.relay = None;
                backend.record_unreachable(now);
            }
            (None, cause.to_string())
        }
        SendOutcome::Stale | SendOutcome::Withheld(_) => {
            if let Some(backend) = state.backends.get_mut(key) {
                backend.refund();
            }
            let cause = match outcome {
                SendOutcome::Withheld(cause) => cause,
                _ => STALE_CAUSE,
            };
            (None, cause.to_owned())
        }
        SendOutcome::Broken(cause) => (Some(Evidence::Broken), cause.to_string()),
    };
    if let Some(observed) = observed {
        state.observe(now, key, observed);
    }
    let not_run = matches!(outcome, SendOutcome::Completed(response) if response.head.not_run);
    node.metrics.record_attempt(observed, not_run, elapsed);
    if observed == Some(Evidence::Success) {
        return;
    }
    let gray = state.backends.gray_probability(now, key);
    drop(state);
    telemetry::event!(
        ATTEMPT_FAILED,
        request = req.outgoing.request_id,
        route = req.route.id,
        service = req.service,
        backend = backend,
        cause = cause,
        took_ms = elapsed.as_millis() as u64,
        gray = gray,
        config = req.config_version,
    );
}
