//! Tests of the queues.

mod fair;
mod max_min;
