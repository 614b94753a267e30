//! Arrivals, service times and fair shares for the experiments on the queue and on retries.

use std::time::Duration;

use rand::{Rng, RngCore};

/// Median of the service times, in seconds.
pub const MEDIAN_S: f64 = 0.05;
/// 99th percentile of the service times, in seconds.
pub const P99_S: f64 = 0.25;
/// 99th percentile of the standard normal distribution.
const NORMAL_P99: f64 = 2.326_348;

/// Returns the mean of the service times, in seconds.
pub fn mean_s() -> f64 {
    MEDIAN_S * (sigma() * sigma() / 2.0).exp()
}

fn sigma() -> f64 {
    (P99_S / MEDIAN_S).ln() / NORMAL_P99
}

/// Draws a log-normal service time.
pub fn service_time(rng: &mut dyn RngCore) -> Duration {
    // Box-Muller transform; u is below 1, so the logarithm is finite.
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    Duration::from_secs_f64(MEDIAN_S * (sigma() * normal).exp())
}

/// Draws the time until the next arrival of a Poisson process; `rate` is per second.
pub fn next_arrival(rng: &mut dyn RngCore, rate: f64) -> Duration {
    let u: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - u).ln() / rate)
}

/// Returns the weighted max-min shares of a capacity for pairs of demand and weight.
pub fn max_min_shares(demands: &[(f64, f64)], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| {
        let relative_demand = |i: &usize| demands[*i].0 / demands[*i].1;
        relative_demand(a).total_cmp(&relative_demand(b))
    });
    let mut remaining = capacity;
    let mut weights: f64 = demands.iter().map(|d| d.1).sum();
    for i in order {
        let (demand, weight) = demands[i];
        shares[i] = demand.min(remaining * weight / weights);
        remaining -= shares[i];
        weights -= weight;
    }
    shares
}
