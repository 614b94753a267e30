//! Tests of retries, keys and the crash guard.

mod answers;
mod crash;
mod policy;
