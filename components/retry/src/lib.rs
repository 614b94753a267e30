//! Retry budget, hedging, idempotency keys with stored responses, and the crash guard, which keeps
//! requests that crash backend servers from running again.

mod crash_guard;
mod crash_message;
mod crash_record;
mod digest;
mod hedge;
mod idempotency_key;
mod idempotency_table;
mod key_decision;
mod retry_budget;
mod retry_policy;
mod stored_response;

pub use crash_guard::{AttemptEnd, CrashGuard, CrashRefusal, GuardDecision};
pub use crash_message::{CrashAction, CrashCount, CrashMessage};
pub use digest::{Fingerprint, RequestDigest};
pub use hedge::HedgePolicy;
pub use idempotency_key::{IdempotencyKey, KeyError, issue_prefix};
pub use idempotency_table::{IdempotencyLimits, IdempotencyTable, KEY_RETENTION};
pub use key_decision::{ClaimResult, KeyDecision, RunOutcome};
pub use retry_budget::RetryBudget;
pub use retry_policy::{MAX_ATTEMPTS, RetryDenied, RetryRequest, SentState, admit_retry};
pub use stored_response::{MAX_STORED_BODY_BYTES, StoredResponse};
