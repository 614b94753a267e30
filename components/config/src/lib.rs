//! Fleet configuration: model, change, delta, snapshot, difference, lookup.

mod digest;
mod lookup;
mod model;

pub use digest::{KeyDigest, digest_key, parse_digest};
pub use lookup::{Access, Lookup, RouteMatch};
pub use model::{FleetConfig, Key, Organisation, Route, Service};
