use std::time::Duration;

use rand_distr::LogNormal;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// 99th percentile of the standard normal distribution.
const STANDARD_NORMAL_P99: f64 = 2.326_347_874;

/// Behaviour of a backend server stand-in without faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Id in its responses.
    pub id: Box<str>,
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are shed.
    pub max_queued: usize,
    /// Limit of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Median service time.
    pub median_time: Duration,
    /// 99th percentile of the service time. At least the median.
    pub p99_time: Duration,
    /// Seed of the random generator.
    pub seed: u64,
    /// Length of a cold start, over which the service time falls linearly to its normal value.
    pub cold_start: Duration,
    /// Service time at the beginning of a cold start, as a multiple of the normal one.
    pub cold_factor: f64,
    /// Delay of the first request of each connection, for the cost of opening it.
    pub connect_delay: Duration,
    /// Delay of a response of the health or load endpoint.
    pub probe_delay: Duration,
    /// Limit of the received bytes kept for `GET /seen?text=`. Heads and bodies beyond it are
    /// counted as `forgotten`.
    pub max_kept_bytes: usize,
    /// Whether a crash ends the process. Otherwise a crash closes all connections and begins a cold
    /// start.
    pub exit_on_crash: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            id: "backend".into(),
            slots: 4,
            max_queued: 16,
            max_connections: 400,
            median_time: Duration::from_millis(50),
            p99_time: Duration::from_millis(250),
            seed: 1,
            cold_start: Duration::ZERO,
            cold_factor: 3.0,
            connect_delay: Duration::from_millis(1),
            probe_delay: Duration::from_millis(25),
            // 40 backend servers in one process stay below 1 GB.
            max_kept_bytes: 16 << 20,
            exit_on_crash: false,
        }
    }
}

/// Error of invalid options.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum OptionsError {
    /// The service times do not define a distribution.
    #[error("the median must be above 0 and the 99th percentile at least the median")]
    InvalidServiceTime,
    /// The number of slots is 0 or too large.
    #[error("slots must be from 1 to 100000")]
    InvalidSlots,
}

impl Options {
    /// Returns the log-normal distribution of the service time in seconds.
    pub fn service_time_distribution(&self) -> Result<LogNormal<f64>, OptionsError> {
        let (median, p99) = (self.median_time.as_secs_f64(), self.p99_time.as_secs_f64());
        if median <= 0.0 || p99 < median {
            return Err(OptionsError::InvalidServiceTime);
        }
        LogNormal::new(median.ln(), (p99 / median).ln() / STANDARD_NORMAL_P99)
            .map_err(|_| OptionsError::InvalidServiceTime)
    }
}

/// Load that the load endpoint reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Slots in use.
    pub(crate) busy: usize,
    /// Requests waiting for a slot.
    pub(crate) queued: usize,
    /// Whether the server is draining.
    pub(crate) draining: bool,
}

/// Faults that are switched by `POST /control`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FaultSwitches {
    /// Refuse connections.
    pub(crate) refuse: bool,
    /// Stall every request: it holds its slot and gets no response.
    pub(crate) stall: bool,
    /// Fraction of the requests that stalls, in [0, 1].
    pub(crate) stall_fraction: f64,
    /// Factor of the service time.
    pub(crate) slow_factor: f64,
    /// Fraction of the requests that gets status 500 at once, in [0, 1].
    pub(crate) fail_fraction: f64,
    /// Crash on a request whose path contains this text.
    pub(crate) crash_word: Option<String>,
    /// Break the connection after half of each response body.
    pub(crate) cut_body: bool,
    /// Refuse new work with `x-not-run: draining`.
    pub(crate) draining: bool,
    /// Age of the state that the health and load endpoints report.
    pub(crate) lag_ms: u64,
    /// Health that is reported instead of the true one.
    pub(crate) health_lie: Option<bool>,
    /// Load that is reported instead of the true one.
    pub(crate) load_lie: Option<LoadReport>,
}

impl Default for FaultSwitches {
    fn default() -> Self {
        FaultSwitches {
            refuse: false,
            stall: false,
            stall_fraction: 0.0,
            slow_factor: 1.0,
            fail_fraction: 0.0,
            crash_word: None,
            cut_body: false,
            draining: false,
            lag_ms: 0,
            health_lie: None,
            load_lie: None,
        }
    }
}
