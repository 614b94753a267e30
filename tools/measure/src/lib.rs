//! Experiments in virtual time against small fakes.

pub mod experiments;
pub mod fakes;
pub mod figure;
pub mod rate_fleet;
pub mod service_fake;

/// Seeds of an experiment.
pub struct Options {
    /// First seed.
    pub seed: u64,
    /// Number of runs, each with its own seed.
    pub runs: u64,
}
