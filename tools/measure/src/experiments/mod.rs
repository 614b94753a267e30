//! Experiments, by name.

mod cost;
mod detection;
mod ejections;
mod fairness;
mod latency;
mod link;
mod rates;
mod retries;
mod start;

use crate::Options;
use crate::figure::Figure;

/// An experiment that can be run by name.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// Function that runs the experiment.
    pub run: fn(&Options) -> anyhow::Result<Vec<Figure>>,
}

/// Every experiment.
pub const ALL: &[Experiment] = &[
    Experiment { name: "cost", run: cost::run },
    Experiment { name: "detection", run: detection::run },
    Experiment { name: "ejections", run: ejections::run },
    Experiment { name: "latency", run: latency::run },
    Experiment { name: "link", run: link::run },
    Experiment { name: "start", run: start::run },
    Experiment { name: "rates", run: rates::run },
    Experiment { name: "rates-hour", run: rates::run_hour },
    Experiment { name: "fairness", run: fairness::run },
    Experiment { name: "retries", run: retries::run },
];
