use std::fmt;

use kernel::prelude::*;
use thiserror::Error;

use crate::KeyDigest;

/// Why one value of a change set is invalid. The message names the remedy.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ValidationErrorKind {
    /// The change set is empty.
    #[error("the set has no change; send at least one")]
    EmptyChangeSet,
    /// A name is too long, empty or has a character that is not allowed.
    #[error("{0:?} is not a name; use 1 to 64 letters, digits, '.', '_' or '-'")]
    InvalidName(Box<str>),
    /// A rate is negative or not a number.
    #[error("rate {0} is invalid; use a number of requests per second from 0 up")]
    InvalidRate(f64),
    /// A burst is below 1.
    #[error("burst {0} is invalid; use 1 or more, or no request is ever admitted")]
    InvalidBurst(f64),
    /// A weight is not above 0.
    #[error("weight {0} is invalid; use a number above 0")]
    InvalidWeight(f64),
    /// The minimum fraction of healthy backend servers is outside [0, 1].
    #[error("floor {0} is invalid; use a fraction from 0 to 1")]
    InvalidMinHealthy(f64),
    /// Two backend servers of a service have the same id.
    #[error("backend server {0:?} is listed twice; give each its own id")]
    DuplicateBackend(BackendId),
    /// A backend server has 0 slots.
    #[error("a backend server needs at least 1 slot; mark it as draining to give it no work")]
    NoSlots,
    /// A backend server has fewer connections than slots.
    #[error("{connections} connections cannot fill {slots} slots; allow at least {slots}")]
    TooFewConnections {
        /// Slots of the backend server.
        slots: u32,
        /// Connections allowed to it.
        connections: u32,
    },
    /// A path prefix does not start with `/` or has a character that is not allowed.
    #[error("{0:?} is not a path prefix; start it with '/' and leave out spaces, '?' and '#'")]
    InvalidPrefix(Box<str>),
    /// A path prefix lies in the path space that the VMs serve themselves.
    #[error("{0:?} is reserved for the fleet itself; choose a prefix outside /.papayareel")]
    ReservedPrefix(Box<str>),
    /// Another route has the same prefix and a method in common.
    #[error("route {0:?} has the same prefix and a method in common; change one of the two")]
    OverlappingRoute(RouteId),
    /// A method is not a word of upper-case letters.
    #[error("{0:?} is not a method; use upper-case letters such as GET")]
    InvalidMethod(Box<str>),
    /// A deadline is zero or not a whole number of milliseconds.
    #[error("deadline {0:?} is invalid; use whole milliseconds from 1 up")]
    InvalidDeadline(Duration),
    /// A public route is restricted to organisations.
    #[error("an open route needs no key; leave out the organisations or set open to false")]
    RestrictedPublicRoute,
    /// The service does not exist.
    #[error("service {0:?} does not exist; create it first or in the same set")]
    UnknownService(ServiceId),
    /// The organisation does not exist.
    #[error("organisation {0:?} does not exist; create it first or in the same set")]
    UnknownOrganisation(OrganisationId),
    /// The route does not exist.
    #[error("route {0:?} does not exist; list the routes to find its name")]
    UnknownRoute(RouteId),
    /// The key does not exist.
    #[error("no key has the digest {0}; list the keys to find it")]
    UnknownKey(KeyDigest),
    /// A route refers to what the change removes.
    #[error("route {0:?} still refers to it; change or remove that route first or in the same set")]
    UsedByRoute(RouteId),
    /// A key with this digest exists already.
    #[error("a key of organisation {0:?} has this digest; issue another key")]
    DuplicateKey(OrganisationId),
    /// The key was withdrawn.
    #[error("this key was withdrawn and cannot be issued again; issue another key")]
    KeyWithdrawn,
}

/// An invalid value in a change set.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{path}: {kind}")]
pub struct ValidationError {
    /// Path of the value, such as `changes[2].service.floor`.
    pub path: Box<str>,
    /// Why the value is invalid.
    pub kind: ValidationErrorKind,
}

/// Every validation error of a change set.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            write!(f, "{}{error}", if i == 0 { "" } else { "; " })?;
        }
        Ok(())
    }
}

/// Why a change set was rejected.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ChangeError {
    /// The base version of the set is not the newest version.
    #[error(
        "the change is based on version {base}, but the newest is {current}; check the change \
         against version {current} and send it again with that base version"
    )]
    Conflict {
        /// Base version of the set.
        base: ConfigVersion,
        /// Newest version.
        current: ConfigVersion,
    },
    /// Values of the set are invalid.
    #[error("{0}")]
    Invalid(ValidationErrors),
}
