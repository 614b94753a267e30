//! Tests of retries, hedges, idempotency keys and the crash guard.

mod crash;
mod idempotency;
mod policy;
