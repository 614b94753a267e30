use kernel::Incarnation;

use crate::StoredResponse;

/// How to handle a request that carries an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyDecision {
    /// Run it, then always call [`crate::IdempotencyTable::finish`], whatever the outcome.
    Run,
    /// Claim the key in the platform's table with this attempt number, then call
    /// [`crate::IdempotencyTable::record_claim`].
    Claim {
        /// Number to write into the row of the claim, together with the incarnation.
        attempt: u64,
    },
    /// The first request with this key is running; wait until it ends and ask again.
    Wait,
    /// The first request ended with this response; return it again.
    Replay(StoredResponse),
    /// The first request may have run, but its response is not available.
    Unknown,
    /// The key was already used for a different request.
    Conflict,
    /// The table has no room for another key; the request was not run.
    Full,
    /// The claim failed; the request was not run and may be sent again with the same key.
    Unclaimed,
    /// Only this other incarnation may run the request.
    OtherIncarnation(Incarnation),
    /// The key is older than [`crate::KEY_RETENTION`]; the request may have run.
    Expired,
    /// The time of issue in the key is in the future, so this incarnation did not issue it.
    IssuedInFuture,
}

/// Result of claiming a key in the platform's table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The row of the claim, as written now or as read after a conflict or a lost reply.
    Row {
        /// Incarnation that claimed the key.
        incarnation: Incarnation,
        /// Its attempt number.
        attempt: u64,
    },
    /// The table did not respond, or the write budget is exhausted.
    Failed,
}

/// Outcome of a request that ran with an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// A complete response.
    Response(StoredResponse),
    /// No complete response, and a backend server may have run the request.
    Unknown,
    /// No backend server has run or will run the request; the key may be used again.
    NotRun,
}
