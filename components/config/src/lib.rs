//! Fleet configuration: model, change, delta, snapshot, difference, lookup.

mod apply;
mod change;
mod check;
mod diff;
mod digest;
mod fault;
mod lookup;
mod millis;
mod model;
mod render;
mod snapshot;

pub use apply::{apply, replay};
pub use change::{Change, ChangeSet, Delta};
pub use diff::diff;
pub use digest::{DigestError, KeyDigest, digest_key, parse_digest};
pub use fault::{ChangeError, Fault, FaultKind, Faults};
pub use lookup::{Access, Lookup, RouteMatch};
pub use model::{FleetConfig, Key, Organisation, Route, Service};
pub use render::Rendering;
pub use snapshot::{SnapshotError, decode, encode};
