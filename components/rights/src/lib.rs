//! The share ledger: rights in bounded units, fenced by the table.

mod error;
mod holder;
mod ledger;
mod observer;
mod session;

pub use error::RightsError;
pub use holder::{HeldUnits, Holder, Renewal};
pub use ledger::{ClaimedRow, Entry, LedgerError, ShareRow, right_key};
pub use observer::SessionObserver;
pub use session::{DEFAULT_LEASE, RENEW_INTERVAL, Session, SessionError, session_key};
