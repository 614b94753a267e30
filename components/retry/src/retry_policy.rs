use std::time::Duration;

use kernel::Uptime;
use thiserror::Error;

use crate::RetryBudget;

/// Maximum number of attempts of one request, including the first one and hedges.
pub const MAX_ATTEMPTS: u32 = 3;

/// How much of a request can have reached a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SentState {
    /// No byte of the request was written to a connection.
    NotSent,
    /// Some bytes were written; the backend server may have run the request.
    MaybeSent,
    /// The backend server reported that it did not run the request.
    NotExecuted,
}

/// A request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRequest<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Organisation of the request.
    pub organisation: &'a str,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How much of the failed attempt can have reached a backend server.
    pub sent: SentState,
    /// Number of attempts so far, at least 1.
    pub attempts: u32,
    /// Time by which the response is due.
    pub deadline: Uptime,
    /// Expected duration of a fast attempt.
    pub expected: Duration,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RetryDenied {
    /// The request may have run and must not run twice.
    #[error("the request may have run and its route is not idempotent")]
    MayHaveRun,
    /// The maximum number of attempts was reached.
    #[error("the request was tried {MAX_ATTEMPTS} times")]
    Attempts,
    /// A further attempt cannot end before the deadline.
    #[error("a further attempt cannot end before the deadline; allow more time")]
    Deadline,
    /// The retry budget is exhausted.
    #[error("the retry budget of the service and organisation is exhausted; retry later")]
    Budget,
}

/// Decides whether a request is retried, and if so takes the retry out of the budget.
///
/// After an attempt of which no byte was written the retry is free, since that attempt put no load
/// on a backend server.
pub fn admit_retry(
    now: Uptime,
    request: &RetryRequest<'_>,
    budget: &mut RetryBudget,
) -> Result<(), RetryDenied> {
    if request.sent == SentState::MaybeSent && !request.idempotent {
        return Err(RetryDenied::MayHaveRun);
    }
    if request.attempts >= MAX_ATTEMPTS {
        return Err(RetryDenied::Attempts);
    }
    if now + request.expected >= request.deadline {
        return Err(RetryDenied::Deadline);
    }
    let unsent = request.sent == SentState::NotSent;
    if !unsent && !budget.take_retry(request.service, request.organisation) {
        return Err(RetryDenied::Budget);
    }
    Ok(())
}
