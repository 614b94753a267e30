//! The share ledger: rights in bounded units, fenced by the table.

mod error;
mod holder;
mod ledger;
mod observer;
mod session;

pub use error::RightsError;
pub use holder::{Held, Holder, Renewal};
pub use ledger::{Claimed, Entry, LedgerError, ShareRow, right_key};
pub use observer::Observer;
pub use session::{LEASE, RENEW_EVERY, Session, SessionError, session_key};
