use std::fmt;

use config::{ChangeError, StoreError};
use kernel::ConfigVersion;
use thiserror::Error;

/// A value that is not possible.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{path}: {message}")]
pub struct FieldFault {
    /// Where, such as `changes[2].service.floor`.
    pub path: Box<str>,
    /// What, and what to do about it.
    pub message: Box<str>,
}

impl FieldFault {
    /// A fault at this path.
    pub(crate) fn new(path: impl Into<Box<str>>, message: impl Into<Box<str>>) -> Self {
        FieldFault { path: path.into(), message: message.into() }
    }

    /// Puts the path below another one.
    pub(crate) fn below(self, parent: impl fmt::Display) -> Self {
        let path = match &*self.path {
            "" => parent.to_string(),
            path => format!("{parent}.{path}"),
        };
        FieldFault { path: path.into(), message: self.message }
    }
}

/// Why an operator did not get what was asked for. The texts name the remedy.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OperatorError {
    /// The change builds on a version that is not the newest; nothing was changed.
    #[error(
        "the change builds on version {base} and the newest is {current}; look at version \
         {current} and send the change again with it as its base"
    )]
    Conflict {
        /// Version that the change names.
        base: ConfigVersion,
        /// Newest version.
        current: ConfigVersion,
    },
    /// Values are not possible; nothing was changed.
    #[error("{}", join(.0))]
    Invalid(Vec<FieldFault>),
    /// Another change set had this id; nothing was changed.
    #[error("the change id was used for other changes in version {version}; use a new id")]
    IdReused {
        /// Version that the other changes led to.
        version: ConfigVersion,
    },
    /// The change may or may not have taken effect.
    #[error(
        "the outcome of change {change_id:?} is not known; send it again with the same change id, \
         which has no second effect"
    )]
    Uncertain {
        /// Id of the change set.
        change_id: Box<str>,
    },
    /// Nothing was changed; a later try can succeed.
    #[error("{0}")]
    Unavailable(Box<str>),
    /// What was asked about does not exist.
    #[error("{0}")]
    NotFound(Box<str>),
    /// No valid token was shown.
    #[error("the operator token is missing or not valid; use a token from the daemon's settings")]
    Unauthenticated,
    /// A fault of the fleet itself.
    #[error("{0}")]
    Internal(Box<str>),
}

fn join(faults: &[FieldFault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl From<ChangeError> for OperatorError {
    fn from(error: ChangeError) -> Self {
        match error {
            ChangeError::Conflict { base, current } => OperatorError::Conflict { base, current },
            ChangeError::Invalid(faults) => {
                let faults = faults.0.into_iter();
                let texts = faults.map(|f| FieldFault::new(f.path, f.kind.to_string()));
                OperatorError::Invalid(texts.collect())
            }
        }
    }
}

impl From<StoreError> for OperatorError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Change(error) => error.into(),
            StoreError::ChangeIdReused { version, .. } => OperatorError::IdReused { version },
            StoreError::UnknownOutcome { change_id, .. } => OperatorError::Uncertain { change_id },
            StoreError::Platform(_) | StoreError::Contention => {
                OperatorError::Unavailable(error.to_string().into())
            }
            StoreError::InvalidRow { .. }
            | StoreError::MissingDeltas { .. }
            | StoreError::Snapshot(_) => OperatorError::Internal(error.to_string().into()),
        }
    }
}
