use kernel::Incarnation;

use crate::StoredResponse;

/// What to do with a request that carries an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyDecision {
    /// Run it, then call [`crate::AnswerTable::finish`] in any case.
    Run,
    /// Claim the key in the table with this attempt number, then call [`crate::AnswerTable::claimed`].
    Claim {
        /// Number to write into the claim's row beside the incarnation.
        attempt: u64,
    },
    /// The first request with this key runs; wait for it and ask again.
    Wait,
    /// The first request ended with this answer.
    Replay(StoredResponse),
    /// The first request may have run; its answer is not known.
    Unknown,
    /// The key was used with another request.
    Conflict,
    /// No room for a further key; the request was not run.
    Full,
    /// The claim failed; the request was not run and the key may be used again.
    Unclaimed,
    /// Only this incarnation may run the request.
    OtherIncarnation(Incarnation),
    /// The key is older than the retention; the request may have run.
    Expired,
    /// The key names a second that has not come; this incarnation has not issued it.
    IssuedInFuture,
}

/// What came of a claim in the platform's table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The row of the claim says this, as written now or as read back.
    Row {
        /// Incarnation that claimed.
        incarnation: Incarnation,
        /// Its attempt number.
        attempt: u64,
    },
    /// The table did not answer or the write budget is spent.
    Failed,
}

/// How a request that ran under a key ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// With a whole answer.
    Response(StoredResponse),
    /// Without one, after a backend server may have run it.
    Unknown,
    /// No backend server has run or will run it; the key may be used again.
    NotRun,
}
