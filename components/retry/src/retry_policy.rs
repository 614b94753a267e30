use std::time::Duration;

use kernel::Uptime;
use thiserror::Error;

use crate::RetryBudget;

/// Most attempts of one request, the first and hedges included.
pub const MAX_ATTEMPTS: u32 = 3;

/// What can have reached a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SentState {
    /// No byte of the request was written to a connection.
    NotSent,
    /// Bytes were written; the backend server may have run the request.
    MaybeSent,
    /// The backend server says that it did not run the request.
    NotExecuted,
}

/// A request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The organisation.
    pub organisation: &'a str,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What the failed attempt can have sent.
    pub sent: SentState,
    /// Attempts so far, at least 1.
    pub attempts: u32,
    /// Time by which the answer is due.
    pub deadline: Uptime,
    /// Time that a fast attempt takes.
    pub expected: Duration,
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RetryDenied {
    /// The request may have run and may not run twice.
    #[error("the request may have run and its route is not idempotent")]
    MayHaveRun,
    /// Enough attempts.
    #[error("the request was tried {MAX_ATTEMPTS} times")]
    Attempts,
    /// A further attempt cannot end before the deadline.
    #[error("a further attempt cannot end before the deadline; allow more time")]
    Deadline,
    /// The retry budget is spent.
    #[error("the retry budget of the service and organisation is spent; retry later")]
    Budget,
}

/// Decides whether a request is tried again, and takes the retry out of the budget if so.
///
/// An attempt of which no byte was written puts no load on a backend server and costs no budget.
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
