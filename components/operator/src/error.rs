use std::fmt;

use config::{ChangeError, ConfigStoreError};
use kernel::ConfigVersion;
use thiserror::Error;

/// An invalid value in a request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{path}: {message}")]
pub struct FieldError {
    /// Path of the field, such as `changes[2].service.floor`.
    pub path: Box<str>,
    /// What is wrong with the value, and the remedy.
    pub message: Box<str>,
}

impl FieldError {
    /// Creates an error at this path.
    pub(crate) fn new(path: impl Into<Box<str>>, message: impl Into<Box<str>>) -> Self {
        FieldError { path: path.into(), message: message.into() }
    }

    /// Prepends the path of the parent field.
    pub(crate) fn prefix_path(self, parent: impl fmt::Display) -> Self {
        let path = match &*self.path {
            "" => parent.to_string(),
            path => format!("{parent}.{path}"),
        };
        FieldError { path: path.into(), message: self.message }
    }
}

/// Error of an operator's call. The messages name the remedy.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OperatorError {
    /// The base version of the change is not the newest version; nothing was changed.
    #[error(
        "the change is based on version {base} and the newest is {current}; read version {current} \
         and send the change again with it as the base version"
    )]
    Conflict {
        /// Base version of the change.
        base: ConfigVersion,
        /// Newest version.
        current: ConfigVersion,
    },
    /// Values are invalid; nothing was changed.
    #[error("{}", join_errors(.0))]
    Invalid(Vec<FieldError>),
    /// The id was used by another change set; nothing was changed.
    #[error("the change id was already used for other changes in version {version}; use a new id")]
    ChangeIdReused {
        /// Version that contains the other change set.
        version: ConfigVersion,
    },
    /// The change may or may not have been applied.
    #[error(
        "the outcome of change {change_id:?} is unknown; send it again with the same change id, \
         which applies it at most once"
    )]
    UnknownOutcome {
        /// Id of the change set.
        change_id: Box<str>,
    },
    /// Nothing was changed; a retry can succeed.
    #[error("{0}")]
    Unavailable(Box<str>),
    /// The requested item does not exist.
    #[error("{0}")]
    NotFound(Box<str>),
    /// The token is missing or invalid.
    #[error("the operator token is missing or invalid; use a token from the daemon's settings")]
    Unauthenticated,
    /// An error inside the fleet.
    #[error("{0}")]
    Internal(Box<str>),
}

fn join_errors(errors: &[FieldError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl From<ChangeError> for OperatorError {
    fn from(error: ChangeError) -> Self {
        match error {
            ChangeError::Conflict { base, current } => OperatorError::Conflict { base, current },
            ChangeError::Invalid(errors) => {
                let errors = errors.0.into_iter();
                let errors = errors.map(|e| FieldError::new(e.path, e.kind.to_string()));
                OperatorError::Invalid(errors.collect())
            }
        }
    }
}

impl From<ConfigStoreError> for OperatorError {
    fn from(error: ConfigStoreError) -> Self {
        match error {
            ConfigStoreError::Change(error) => error.into(),
            ConfigStoreError::ChangeIdReused { version, .. } => {
                OperatorError::ChangeIdReused { version }
            }
            ConfigStoreError::UnknownOutcome { change_id, .. } => {
                OperatorError::UnknownOutcome { change_id }
            }
            ConfigStoreError::Platform(_) | ConfigStoreError::Contention => {
                OperatorError::Unavailable(error.to_string().into())
            }
            ConfigStoreError::InvalidRow { .. }
            | ConfigStoreError::MissingDeltas { .. }
            | ConfigStoreError::Snapshot(_) => OperatorError::Internal(error.to_string().into()),
        }
    }
}
