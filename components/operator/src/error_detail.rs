use prost::Message;
use tonic::{Code, Status};

use crate::proto::error_detail::Kind;
use crate::proto::{Conflict, ErrorDetail, Fault, Invalid, Packed, RpcStatus};
use crate::{FieldError, OperatorError};

/// Type URL of an error detail in a google.rpc.Status.
const TYPE_URL: &str = "type.googleapis.com/papayareel.v1.ErrorDetail";

impl From<OperatorError> for Status {
    fn from(error: OperatorError) -> Status {
        let message = error.to_string();
        let (code, kind) = match error {
            OperatorError::Conflict { base, current } => {
                (Code::Aborted, Some(Kind::Conflict(Conflict { base, current })))
            }
            OperatorError::Invalid(faults) => {
                let encode =
                    |f: FieldError| Fault { path: f.path.into(), message: f.message.into() };
                let faults = faults.into_iter().map(encode).collect();
                (Code::InvalidArgument, Some(Kind::Invalid(Invalid { faults })))
            }
            OperatorError::ChangeIdReused { version } => {
                (Code::AlreadyExists, Some(Kind::IdReused(version)))
            }
            OperatorError::UnknownOutcome { change_id } => {
                (Code::Unavailable, Some(Kind::Uncertain(change_id.into())))
            }
            OperatorError::Unavailable(text) => {
                (Code::Unavailable, Some(Kind::Unavailable(text.into())))
            }
            OperatorError::NotFound(_) => (Code::NotFound, None),
            OperatorError::Unauthenticated => (Code::Unauthenticated, None),
            OperatorError::Internal(text) => (Code::Internal, Some(Kind::Internal(text.into()))),
        };
        let Some(kind) = kind else { return Status::new(code, message) };
        let value = ErrorDetail { kind: Some(kind) }.encode_to_vec();
        let details = vec![Packed { type_url: TYPE_URL.into(), value }];
        let details = RpcStatus { code: code.into(), message: message.clone(), details };
        Status::with_details(code, message, details.encode_to_vec().into())
    }
}

impl From<Status> for OperatorError {
    fn from(status: Status) -> OperatorError {
        match decode_error_kind(status.details()) {
            Some(Kind::Conflict(Conflict { base, current })) => {
                OperatorError::Conflict { base, current }
            }
            Some(Kind::Invalid(Invalid { faults })) => {
                let faults = faults.into_iter().map(|f| FieldError::new(f.path, f.message));
                OperatorError::Invalid(faults.collect())
            }
            Some(Kind::IdReused(version)) => OperatorError::ChangeIdReused { version },
            Some(Kind::Uncertain(change_id)) => {
                OperatorError::UnknownOutcome { change_id: change_id.into() }
            }
            Some(Kind::Unavailable(text)) => OperatorError::Unavailable(text.into()),
            Some(Kind::Internal(text)) => OperatorError::Internal(text.into()),
            None => error_from_code(&status),
        }
    }
}

/// Decodes the error detail; `None` if the error was not created by a papayareel VM.
pub(crate) fn decode_error_kind(details: &[u8]) -> Option<Kind> {
    let details = RpcStatus::decode(details).ok()?.details;
    let packed = details.into_iter().find(|packed| packed.type_url == TYPE_URL)?;
    ErrorDetail::decode(&*packed.value).ok()?.kind
}

fn error_from_code(status: &Status) -> OperatorError {
    let text = status.message();
    match status.code() {
        Code::Unauthenticated => OperatorError::Unauthenticated,
        Code::NotFound => OperatorError::NotFound(text.into()),
        Code::Unavailable | Code::Cancelled | Code::DeadlineExceeded => {
            let text = format!("the VM did not respond ({text}); retry or ask another VM");
            OperatorError::Unavailable(text.into())
        }
        Code::Internal => OperatorError::Internal(text.into()),
        code => {
            let text = format!("unexpected response of the VM ({code}: {text}); check its release");
            OperatorError::Internal(text.into())
        }
    }
}
