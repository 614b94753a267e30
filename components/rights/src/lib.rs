//! Distribution of rights, such as shares of a rate limit, among VMs. A right is a fixed number of
//! units; which incarnation holds them is stored in rows of the platform's table. Leases and row
//! versions prevent two holders from using the same unit.

mod error;
mod holder;
mod ledger;
mod observer;
mod session;

pub use error::RightsError;
pub use holder::{HeldUnits, Holder, Renewal};
pub use ledger::{ClaimedRow, HolderEntry, LedgerError, RightRow, right_key};
pub use observer::SessionObserver;
pub use session::{DEFAULT_LEASE, RENEW_INTERVAL, Session, SessionError, session_key};
