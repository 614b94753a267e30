use std::time::Duration;

use rand::RngCore;
use serde::{Deserialize, Serialize};

use crate::{BackendId, BackendSpec, HealthStatus, Uptime};

/// Id of an attempt, unique within one VM.
pub type AttemptId = u64;

/// How an attempt on a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response that is not a failure of the backend server itself.
    Success,
    /// A 5xx response caused by a failure of the backend server itself.
    ServerError,
    /// The backend server is overloaded and rejected the request without executing it.
    Shed,
    /// The backend server is draining and rejected the request without executing it.
    Draining,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was lost after the request was sent.
    Reset,
    /// No response before the timeout of the attempt.
    TimedOut,
    /// The caller disconnected, or another hedged attempt completed first.
    Cancelled,
}

/// Load that a backend server reports about itself. May be outdated or wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Number of requests being executed.
    pub running: u32,
    /// Number of requests in its queue.
    pub queued: u32,
    /// Whether the backend server reports that it is draining.
    pub draining: bool,
}

/// An observation about a backend server that the detector uses as evidence.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// A request was sent to the backend server.
    Sent {
        /// The backend server.
        backend: BackendId,
        /// The attempt.
        attempt: AttemptId,
        /// True if the request was sent on a connection that had carried earlier requests.
        reused: bool,
    },
    /// The response head was received.
    HeadReceived {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt ended. `Sent` comes first, except if the outcome is `ConnectFailed`.
    Ended {
        /// The backend server.
        backend: BackendId,
        /// The attempt.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// True if the crash guard attributes the failure to the request and not to the backend
        /// server.
        request_fault: bool,
    },
    /// A probe of the health endpoint ended.
    Probed {
        /// The backend server.
        backend: BackendId,
        /// Whether the response reported a healthy backend server.
        healthy: bool,
        /// Time from the start of the probe to its end.
        took: Duration,
    },
    /// The backend server reported its load.
    LoadReported {
        /// The backend server.
        backend: BackendId,
        /// The reported load.
        load: LoadReport,
    },
    /// Another VM reports whether it can reach the backend server.
    PeerReachability {
        /// The backend server.
        backend: BackendId,
        /// Whether that VM received a response from the backend server within the last seconds.
        reachable: bool,
    },
}

/// Why a backend server was ejected.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectReason {
    /// Requests receive no response.
    Stalled,
    /// Much slower than other backend servers and than its own history.
    Slow,
    /// Responds with errors.
    Failing,
}

/// Action requested by the detector.
#[derive(Clone, Debug, PartialEq)]
pub enum DetectorAction {
    /// The backend server became suspect.
    Suspected {
        /// The backend server.
        backend: BackendId,
        /// Why.
        reason: EjectReason,
        /// Age of the oldest evidence behind the decision.
        evidence_age: Duration,
    },
    /// The backend server was ejected.
    Ejected {
        /// The backend server.
        backend: BackendId,
        /// Why.
        reason: EjectReason,
        /// Age of the oldest evidence behind the decision.
        evidence_age: Duration,
    },
    /// The ejection ended: the backend server receives trial requests or normal traffic again.
    Restored {
        /// The backend server.
        backend: BackendId,
        /// True if the trial requests show that the ejection was a false positive.
        false_positive: bool,
    },
    /// Send one probe to the health endpoint.
    Probe {
        /// The backend server.
        backend: BackendId,
    },
    /// Close the connection that carries this attempt. The backend server itself is healthy.
    DropConnection {
        /// The backend server.
        backend: BackendId,
        /// The attempt on the unresponsive connection.
        attempt: AttemptId,
    },
}

/// Detects unhealthy backend servers of one service on one VM.
pub trait Detector: Send {
    /// Replaces the set of backend servers. Evidence is carried over by id.
    fn set_backends(&mut self, now: Uptime, backends: &[BackendSpec]);

    /// Sets how many backend servers this VM may keep ejected at the same time.
    ///
    /// If more are ejected, the next `poll` restores the excess.
    fn set_ejection_budget(&mut self, now: Uptime, ejections: usize);

    /// Records an observation.
    fn observe(&mut self, now: Uptime, event: &BackendEvent);

    /// Returns the health status of a backend server; `Draining` for unknown ids.
    fn health_status(&self, now: Uptime, backend: &str) -> HealthStatus;

    /// Re-evaluates the evidence and returns the actions to take.
    ///
    /// Called every 50 ms on the home of the service.
    fn poll(&mut self, now: Uptime, rng: &mut dyn RngCore) -> Vec<DetectorAction>;
}
