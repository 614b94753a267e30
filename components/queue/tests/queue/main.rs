//! Tests of the queues.

mod fair;
mod fuzz;
mod max_min;
