use std::time::Duration;

use rand_distr::LogNormal;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// 99th percentile of the standard normal distribution.
const NORMAL_P99: f64 = 2.326_347_874;

/// How a backend server stand-in behaves while it is well.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name in its answers.
    pub id: Box<str>,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that wait for a slot; it sheds the next.
    pub waiting: usize,
    /// Connections that it accepts; it closes the next at once.
    pub connections: usize,
    /// Median service time.
    pub median: Duration,
    /// 99th percentile of the service time. At least the median.
    pub p99: Duration,
    /// Seed of its random generator.
    pub seed: u64,
    /// Time of a cold start; the service time falls linearly to normal over it.
    pub cold_start: Duration,
    /// Service time at the beginning of a cold start, as a multiple of the normal one.
    pub cold_factor: f64,
    /// Cost of a new connection, paid by its first request.
    pub connect_cost: Duration,
    /// Cost of an answer of the health or load endpoint.
    pub probe_cost: Duration,
    /// Received bytes that are kept for `GET /seen?text=`; what is beyond is counted as forgotten.
    pub keep_bytes: usize,
    /// Whether a crash ends the process. If not, it closes all connections and starts cold.
    pub exit_on_crash: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            id: "backend".into(),
            slots: 4,
            waiting: 16,
            connections: 400,
            median: Duration::from_millis(50),
            p99: Duration::from_millis(250),
            seed: 1,
            cold_start: Duration::ZERO,
            cold_factor: 3.0,
            connect_cost: Duration::from_millis(1),
            probe_cost: Duration::from_millis(25),
            // Some 40 backend servers in one process stay below 1 GB.
            keep_bytes: 16 << 20,
            exit_on_crash: false,
        }
    }
}

/// Why options make no backend server.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum OptionsError {
    /// The service times do not make a distribution.
    #[error("the median must be above 0 and the 99th percentile at least the median")]
    ServiceTime,
    /// The backend server could not run anything.
    #[error("slots must be from 1 to 100000")]
    Slots,
}

impl Options {
    /// Log-normal distribution of the service time in seconds.
    pub fn service_time(&self) -> Result<LogNormal<f64>, OptionsError> {
        let (median, p99) = (self.median.as_secs_f64(), self.p99.as_secs_f64());
        if median <= 0.0 || p99 < median {
            return Err(OptionsError::ServiceTime);
        }
        LogNormal::new(median.ln(), (p99 / median).ln() / NORMAL_P99)
            .map_err(|_| OptionsError::ServiceTime)
    }
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Load {
    /// Slots in use.
    pub(crate) busy: usize,
    /// Requests waiting.
    pub(crate) queued: usize,
    /// Whether it is leaving.
    pub(crate) draining: bool,
}

/// Faults that `POST /control` switches.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Switches {
    /// Refuse connections.
    pub(crate) refuse: bool,
    /// Leave every request unanswered while it holds its slot.
    pub(crate) stall: bool,
    /// Part of the requests that stalls, in [0, 1].
    pub(crate) stall_fraction: f64,
    /// Multiplies the service time.
    pub(crate) slow_factor: f64,
    /// Part of the requests that is answered with 500 at once, in [0, 1].
    pub(crate) fail_fraction: f64,
    /// Crash when a path contains this text.
    pub(crate) crash_word: Option<String>,
    /// Break the connection after half of each body.
    pub(crate) cut_body: bool,
    /// Refuse new work with `x-not-run: draining`.
    pub(crate) draining: bool,
    /// Age of what the health and load endpoints tell.
    pub(crate) lag_ms: u64,
    /// What the health endpoint tells, whatever is true.
    pub(crate) health_lie: Option<bool>,
    /// What the load endpoint tells, whatever is true.
    pub(crate) load_lie: Option<Load>,
}

impl Default for Switches {
    fn default() -> Self {
        Switches {
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
