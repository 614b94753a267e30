//! One file for each experiment.

mod fairness;
mod retries;

use crate::Options;
use crate::figure::Figure;

/// An experiment that can be run by name.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// Runs it.
    pub run: fn(&Options) -> anyhow::Result<Vec<Figure>>,
}

/// Every experiment.
pub const ALL: &[Experiment] = &[
    Experiment { name: "fairness", run: fairness::run },
    Experiment { name: "retries", run: retries::run },
];
