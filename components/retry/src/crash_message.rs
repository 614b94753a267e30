use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Number of crashes of backend servers that one home attributes to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashCount {
    /// The home.
    pub home: Incarnation,
    /// Sequence number, raised by the home with every change; the higher one is the newer.
    pub seq: u64,
    /// Number of crashes.
    pub count: u32,
}

/// Message between the crash guards of the homes of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// Reports the crashes that the sender knows of. Repeated until acknowledged.
    Report {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it may run only as a suspect.
        confined: bool,
        /// Crash counts, one for each home.
        deaths: Vec<CrashCount>,
    },
    /// Acknowledges a `Report`.
    Noted {
        /// The request.
        fingerprint: Fingerprint,
        /// Sequence number of the receiver in the report.
        seq: u64,
    },
    /// Asks for permission to run a suspect. Repeated until confirmed.
    Ask {
        /// The request.
        fingerprint: Fingerprint,
        /// Round of the sender; a confirmation of an earlier round is void.
        round: u64,
        /// Crash counts known to the sender.
        deaths: Vec<CrashCount>,
    },
    /// Confirms that the sender is not running the request and has dropped the confirmations that
    /// it received itself.
    Confirm {
        /// The request.
        fingerprint: Fingerprint,
        /// Round of the ask.
        round: u64,
        /// Crash counts known to the sender.
        deaths: Vec<CrashCount>,
    },
    /// The request got a complete response, so it is no longer a suspect.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Crash counts known when it was cleared; newer crashes stay on record.
        deaths: Vec<CrashCount>,
    },
}

/// Action requested by the crash guard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashAction {
    /// Send a message to another home of the service.
    Send {
        /// The home.
        to: Incarnation,
        /// The message.
        message: CrashMessage,
    },
}
