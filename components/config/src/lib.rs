//! Fleet configuration: model, change, delta, snapshot, difference, lookup.

mod apply;
mod change;
mod check;
mod desired;
mod diff;
mod digest;
mod fault;
mod load;
mod lookup;
mod map_changes;
mod millis;
mod model;
mod render;
mod rows;
mod shared_map;
mod shared_map_serde;
mod snapshot;
mod store;
mod upkeep;

pub use apply::{apply, replay};
pub use change::{Change, ChangeSet, Delta};
pub use desired::{DesiredError, DesiredState};
pub use diff::diff;
pub use digest::{DigestError, KeyDigest, digest_key, parse_digest};
pub use fault::{ChangeError, Fault, FaultKind, Faults};
pub use load::Loaded;
pub use lookup::{Access, Lookup, RouteMatch};
pub use map_changes::{MapChange, MapChanges};
pub use model::{FleetConfig, Key, Organisation, Route, Service};
pub use render::Rendering;
pub use rows::Head;
pub use shared_map::{Iter, SharedMap};
pub use snapshot::{SnapshotError, decode, encode};
pub use store::{Committed, ConfigStore, StoreError};
