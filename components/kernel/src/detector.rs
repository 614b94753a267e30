use std::time::Duration;

use rand::RngCore;
use serde::{Deserialize, Serialize};

use crate::{BackendId, BackendSpec, Standing, Uptime};

/// Number of an attempt, unique on one VM.
pub type AttemptId = u64;

/// How an attempt on a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer that is not the backend server's own failure.
    Success,
    /// A 5xx answer that is the backend server's own failure.
    ServerError,
    /// The backend server refused the request unrun because it is full.
    Shed,
    /// The backend server refused the request unrun because it is leaving.
    Draining,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke after the request was sent.
    Reset,
    /// No answer within the time that the attempt was given.
    TimedOut,
    /// The caller or a faster hedge made the attempt needless.
    Cancelled,
}

/// Load that a backend server reports of itself. It lags and may mislead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadHint {
    /// Slots in use.
    pub busy: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Whether the backend server says that it is leaving.
    pub draining: bool,
}

/// One piece of evidence about a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// A request went out to the backend server.
    Sent {
        /// The backend server.
        backend: BackendId,
        /// The attempt.
        attempt: AttemptId,
        /// True if the request went out on a connection that had served others before.
        reused: bool,
    },
    /// The head of the answer arrived.
    Answered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt ended. It was announced by `Sent`, but for `ConnectFailed`.
    Ended {
        /// The backend server.
        backend: BackendId,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// True if the crash guard blames the request and not the backend server.
        excused: bool,
    },
    /// A probe of the health endpoint ended.
    Probed {
        /// The backend server.
        backend: BackendId,
        /// Whether it answered that it is healthy.
        healthy: bool,
        /// Time it took.
        took: Duration,
    },
    /// A load report.
    Hint {
        /// The backend server.
        backend: BackendId,
        /// The report.
        hint: LoadHint,
    },
    /// Another VM reports that it can or cannot reach the backend server.
    PeerReach {
        /// The backend server.
        backend: BackendId,
        /// Whether that VM had an answer from it in the last seconds.
        reachable: bool,
    },
}

/// Why a backend server was ejected.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectReason {
    /// Requests stay unanswered.
    Stalled,
    /// Much slower than its peers and its own past.
    Slow,
    /// Answers with errors.
    Failing,
}

/// What the detector wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum DetectorAction {
    /// The backend server became suspect.
    Suspected {
        /// The backend server.
        backend: BackendId,
        /// The reason.
        reason: EjectReason,
        /// Age of the oldest evidence that led to it.
        after: Duration,
    },
    /// The backend server is ejected from now on.
    Ejected {
        /// The backend server.
        backend: BackendId,
        /// The reason.
        reason: EjectReason,
        /// Age of the oldest evidence that led to it.
        after: Duration,
    },
    /// The backend server takes trials or work again.
    Restored {
        /// The backend server.
        backend: BackendId,
        /// True if the trials show that the ejection was false.
        falsely: bool,
    },
    /// Send one health probe.
    Probe {
        /// The backend server.
        backend: BackendId,
    },
    /// Drop the connection that carries this attempt; the backend server is fine.
    DropConnection {
        /// The backend server.
        backend: BackendId,
        /// The attempt on the silent connection.
        attempt: AttemptId,
    },
}

/// Judges the backend servers of one service on one VM.
pub trait Detector: Send {
    /// Replaces the set of backend servers; evidence is kept by id.
    fn set_backends(&mut self, now: Uptime, backends: &[BackendSpec]);

    /// Sets how many backend servers this VM may hold ejected at once.
    ///
    /// A detector that holds more restores the surplus at its next `poll`.
    fn set_budget(&mut self, now: Uptime, ejections: usize);

    /// Takes one piece of evidence.
    fn observe(&mut self, now: Uptime, event: &BackendEvent);

    /// What the detector thinks of a backend server; unknown ids are `Draining`.
    fn standing(&self, now: Uptime, backend: &str) -> Standing;

    /// Re-evaluates the evidence. Called every 50 ms at the home of the service.
    fn poll(&mut self, now: Uptime, rng: &mut dyn RngCore) -> Vec<DetectorAction>;
}
