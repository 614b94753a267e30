use kernel::{Incarnation, PlatformError, RowVersion};
use thiserror::Error;

use crate::{LedgerError, SessionError};

/// Why a change of the units held failed.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum RightsError {
    /// The change is not allowed in the current state of the row.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// The session was not written yet or its lease has expired.
    #[error(transparent)]
    Session(#[from] SessionError),
    /// The platform's table returned an error.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// Other processes kept changing the row, or the writes were not confirmed.
    #[error("row {key:?} kept changing or its writes were not confirmed; retry later")]
    Contended {
        /// Key of the row.
        key: Box<str>,
    },
    /// A row cannot be parsed.
    #[error("row {key:?} at version {version} is not a share row ({reason}); repair or delete it")]
    Unreadable {
        /// Key of the row.
        key: Box<str>,
        /// Version that was read.
        version: RowVersion,
        /// Message of the parser.
        reason: Box<str>,
    },
    /// Another process wrote the session row of this incarnation.
    #[error("session {0:016x} is used by another process; restart with a new incarnation")]
    ForeignSession(Incarnation),
}
