//! Experiments that print figures: most run in virtual time against small fakes, some start a
//! fleet of processes.

pub mod experiments;
pub mod fakes;
pub mod figure;
pub mod rate_fleet;
pub mod workload;

/// Seeds and number of runs of an experiment.
pub struct Options {
    /// First seed.
    pub seed: u64,
    /// Number of runs, each with its own seed.
    pub runs: u64,
}
