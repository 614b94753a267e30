use kernel::{Incarnation, PlatformError, RowVersion};
use thiserror::Error;

use crate::{LedgerError, SessionError};

/// Why the holder did not change what it holds.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum RightsError {
    /// The rules of the ledger forbid the change.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// The session is not in effect.
    #[error(transparent)]
    Session(#[from] SessionError),
    /// The table did not do what it was asked.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// Others kept changing the row.
    #[error("row {key:?} kept changing or its writes stayed unconfirmed; retry later")]
    Contended {
        /// Key of the row.
        key: Box<str>,
    },
    /// A row does not have the form of the ledger.
    #[error("row {key:?} at version {version} is no ledger row ({reason}); repair or delete it")]
    Unreadable {
        /// Key of the row.
        key: Box<str>,
        /// Version that was read.
        version: RowVersion,
        /// What the parser found.
        reason: Box<str>,
    },
    /// Another process wrote the session row of this incarnation.
    #[error("session {0:016x} belongs to another process; start with a new incarnation")]
    ForeignSession(Incarnation),
}
