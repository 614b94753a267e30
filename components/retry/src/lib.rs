//! Retry budget, hedging, idempotency keys and the crash guard.

mod answer;
mod answers;
mod begin;
mod budget;
mod crash;
mod crash_message;
mod crash_record;
mod decide;
mod digest;
mod hedge;
mod key;

pub use answer::{Answer, MAX_ANSWER_BYTES};
pub use answers::{AnswerLimits, AnswerTable, RETENTION};
pub use begin::{Begin, Claimed, Finish};
pub use budget::RetryBudget;
pub use crash::{AttemptEnd, CrashGuard, CrashRefusal, Verdict};
pub use crash_message::{CrashAction, CrashMessage, Deaths};
pub use decide::{MAX_TRIES, RetryDenied, RetryRequest, SentState, may_retry};
pub use digest::{Fingerprint, RequestDigest};
pub use hedge::HedgePolicy;
pub use key::{IdempotencyKey, KeyError, issue_prefix};
