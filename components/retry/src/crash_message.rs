use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Deaths of backend servers that one home blames on a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashCount {
    /// The home.
    pub home: Incarnation,
    /// Raised by the home with every change; the higher one is the newer.
    pub seq: u64,
    /// Number of deaths.
    pub count: u32,
}

/// Message between the crash guards of the homes of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// Announces what the sender knows of a suspect. Repeated until noted.
    Report {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it may run only as a suspect.
        confined: bool,
        /// Deaths, one entry for each home.
        deaths: Vec<CrashCount>,
    },
    /// Acknowledges a `Report`.
    Noted {
        /// The request.
        fingerprint: Fingerprint,
        /// The receiver's own `seq` in the report.
        seq: u64,
    },
    /// Asks for leave to run a suspect. Repeated until confirmed.
    Ask {
        /// The request.
        fingerprint: Fingerprint,
        /// Round of the sender; a confirmation of an earlier round is void.
        round: u64,
        /// Deaths that the sender knows of.
        deaths: Vec<CrashCount>,
    },
    /// Says that the sender does not run the request and has given up its own confirmations.
    Confirm {
        /// The request.
        fingerprint: Fingerprint,
        /// Round that was asked for.
        round: u64,
        /// Deaths that the sender knows of.
        deaths: Vec<CrashCount>,
    },
    /// The request ran without harm.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Deaths known when it was cleared; newer ones stand.
        deaths: Vec<CrashCount>,
    },
}

/// What the crash guard wants done.
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
