//! Tests of retries, keys and the crash guard.

mod crash;
mod idempotency;
mod policy;
