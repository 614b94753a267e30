use std::fmt;

use kernel::prelude::*;
use thiserror::Error;

use crate::KeyDigest;

/// What is wrong with one value of a change set. The text names the remedy.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FaultKind {
    /// The change set is empty.
    #[error("the set has no change; send at least one")]
    NoChange,
    /// A name has a wrong form.
    #[error("{0:?} is not a name; use 1 to 64 letters, digits, '.', '_' or '-'")]
    Name(Box<str>),
    /// A rate is negative or not a number.
    #[error("rate {0} is not possible; use a number of requests per second from 0 up")]
    Rate(f64),
    /// A burst is below 1.
    #[error("burst {0} is not possible; use 1 or more, or no request is ever admitted")]
    Burst(f64),
    /// A weight is not above 0.
    #[error("weight {0} is not possible; use a number above 0")]
    Weight(f64),
    /// A floor is outside [0, 1].
    #[error("floor {0} is not possible; use a part from 0 to 1")]
    Floor(f64),
    /// Two backend servers of a service have the same id.
    #[error("backend server {0:?} is listed twice; give each its own id")]
    BackendTwice(BackendId),
    /// A backend server has no slot.
    #[error("a backend server needs at least 1 slot; mark it as draining to give it no work")]
    Slots,
    /// A backend server has fewer connections than slots.
    #[error("{connections} connections cannot fill {slots} slots; allow at least {slots}")]
    Connections {
        /// Slots of the backend server.
        slots: u32,
        /// Connections that it accepts.
        connections: u32,
    },
    /// A path prefix has a wrong form.
    #[error("{0:?} is not a path prefix; start it with '/' and leave out spaces, '?' and '#'")]
    Prefix(Box<str>),
    /// A path prefix belongs to the fleet itself.
    #[error("{0:?} is kept for the fleet itself; choose a prefix outside /.papayareel")]
    PrefixReserved(Box<str>),
    /// Another route takes the same requests.
    #[error("route {0:?} has the same prefix and shares a method; change one of the two")]
    RouteOverlap(RouteId),
    /// A method has a wrong form.
    #[error("{0:?} is not a method; use upper-case letters such as GET")]
    Method(Box<str>),
    /// A deadline is zero or has parts of a millisecond.
    #[error("deadline {0:?} is not possible; use whole milliseconds from 1 up")]
    Deadline(Duration),
    /// An open route names organisations.
    #[error("an open route lets everybody in; leave out the organisations or close the route")]
    OpenRestricted,
    /// The service does not exist.
    #[error("service {0:?} does not exist; create it first or in the same set")]
    ServiceUnknown(ServiceId),
    /// The organisation does not exist.
    #[error("organisation {0:?} does not exist; create it first or in the same set")]
    OrganisationUnknown(OrganisationId),
    /// The route does not exist.
    #[error("route {0:?} does not exist; list the routes to find its name")]
    RouteUnknown(RouteId),
    /// The key does not exist.
    #[error("no key has the digest {0}; list the keys to find it")]
    KeyUnknown(KeyDigest),
    /// A route uses what is to be removed.
    #[error("route {0:?} uses it; change or remove that route first or in the same set")]
    InUse(RouteId),
    /// The key exists already.
    #[error("a key of organisation {0:?} has this digest; issue another key")]
    KeyExists(OrganisationId),
    /// The key was withdrawn.
    #[error("this key was withdrawn and stays so; issue another key")]
    KeyWithdrawn,
}

/// One fault of a change set.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{path}: {kind}")]
pub struct Fault {
    /// Where, such as `changes[2].service.floor`.
    pub path: Box<str>,
    /// What.
    pub kind: FaultKind,
}

/// Every fault of a change set.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if i == 0 { "" } else { "; " })?;
        }
        Ok(())
    }
}

/// Why a change set was not accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ChangeError {
    /// The set builds on a version that is not the newest.
    #[error(
        "the change builds on version {base} and the newest is {current}; look at version \
         {current} and send the change again with it as its base"
    )]
    Conflict {
        /// Version that the set names.
        base: ConfigVersion,
        /// Newest version.
        current: ConfigVersion,
    },
    /// Values of the set are not possible.
    #[error("{0}")]
    Invalid(Faults),
}
