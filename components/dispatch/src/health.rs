use std::time::Duration;

use kernel::Uptime;

/// Gray probability without evidence: the fraction of the backend servers that are normally gray.
const PRIOR_GRAY_PROBABILITY: f64 = 0.35;
/// Fraction of its requests that a healthy backend server fails.
const HEALTHY_FAILURE_FRACTION: f64 = 0.015;
/// Fraction of its requests that a gray backend server fails.
const GRAY_FAILURE_FRACTION: f64 = 0.85;
/// Gray probability from which a backend server counts as being in a gray period.
const GRAY_THRESHOLD: f64 = 0.5;
/// Lower bound of the gray probability.
const MIN_GRAY_PROBABILITY: f64 = 0.004;
/// Upper bound of the gray probability: a few successes must end a gray period, however many
/// failures it had.
const MAX_GRAY_PROBABILITY: f64 = 0.97;
/// EWMA smoothing factor of the latency ratio.
const LATENCY_RATIO_ALPHA: f64 = 0.2;
/// Upper bound of one sample of the latency ratio.
const MAX_LATENCY_RATIO: f64 = 8.0;
/// Half-life of the latency ratio of an unused backend server.
const LATENCY_RATIO_HALF_LIFE: Duration = Duration::from_secs(4);
/// Expected duration of a gray period before one has been observed.
const INITIAL_GRAY_PERIOD_S: f64 = 8.0;
/// Lower bound of one gray period in the EWMA of the expected duration.
const MIN_GRAY_PERIOD_S: f64 = 2.0;
/// Upper bound of one gray period in the EWMA of the expected duration.
const MAX_GRAY_PERIOD_S: f64 = 20.0;
/// Extension of a gray period that outlasts the expected duration, as a fraction of that duration.
const EXTENSION_FRACTION: f64 = 0.5;
/// EWMA smoothing factor of the expected duration.
const GRAY_PERIOD_ALPHA: f64 = 0.1;

/// Result of one request to a backend server, as evidence of its health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// A complete response without an error.
    Success,
    /// A complete response with an error of the backend server.
    Failure,
    /// The connection broke or the response was unreadable after the request was sent.
    Broken,
    /// The response has taken several times the expected time and is still missing.
    Overdue,
}

impl Evidence {
    /// Probability of this evidence from a healthy and from a gray backend server.
    fn likelihoods(self) -> (f64, f64) {
        match self {
            Evidence::Success => (1.0 - HEALTHY_FAILURE_FRACTION, 1.0 - GRAY_FAILURE_FRACTION),
            Evidence::Failure => (HEALTHY_FAILURE_FRACTION, GRAY_FAILURE_FRACTION),
            // Lost responses and network cuts break requests to healthy backend servers too.
            Evidence::Broken => (0.03, 0.5),
            Evidence::Overdue => (0.04, 0.4),
        }
    }
}

/// Expected duration of a gray period: an EWMA over the gray periods that have ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrayDuration(f64);

impl Default for GrayDuration {
    fn default() -> Self {
        GrayDuration(INITIAL_GRAY_PERIOD_S)
    }
}

impl GrayDuration {
    /// The expected duration.
    pub fn get(self) -> Duration {
        Duration::from_secs_f64(self.0)
    }

    /// Records the duration of a gray period that has ended.
    pub fn record(&mut self, duration: Duration) {
        self.0 += GRAY_PERIOD_ALPHA
            * (duration.as_secs_f64().clamp(MIN_GRAY_PERIOD_S, MAX_GRAY_PERIOD_S) - self.0);
    }
}

/// A gray period that has not ended.
#[derive(Clone, Copy, Debug)]
struct GrayPeriod {
    start: Uptime,
    /// Expected end. Not before `start`.
    expected_end: Uptime,
}

/// Estimate of whether a backend server is gray: a hidden Markov filter with the states healthy and
/// gray (Rabiner 1989, section III), whose observations are the results of requests. Gray periods
/// have an explicit duration (section IV.D there): the estimate holds for the expected duration and
/// returns to the prior after it.
///
/// Handles gray periods of several seconds on a third of the backend servers: after one failure a
/// backend server is avoided until its gray period is expected to be over, after one success it is
/// preferred.
#[derive(Clone, Debug)]
pub struct Health {
    /// Gray probability at `updated_at`. In [0, 1].
    gray: f64,
    updated_at: Uptime,
    /// Gray period that the backend server is assumed to be in.
    period: Option<GrayPeriod>,
    /// Ratio of its response times to the expected ones at `latency_at`. Above 0.
    latency_ratio: f64,
    latency_at: Uptime,
}

impl Health {
    /// Estimate for a backend server that was never used.
    pub fn new(now: Uptime) -> Self {
        Health {
            gray: PRIOR_GRAY_PROBABILITY,
            updated_at: now,
            period: None,
            latency_ratio: 1.0,
            latency_at: now,
        }
    }

    /// Probability that it is gray now.
    pub fn gray_probability(&self, now: Uptime, gray_duration: GrayDuration) -> f64 {
        let expected = gray_duration.get().as_secs_f64();
        if let Some(period) = self.period {
            return if now > period.expected_end { PRIOR_GRAY_PROBABILITY } else { self.gray };
        }
        // A gray period can have started since the last request, so the estimate moves towards the
        // prior and reaches it after one expected duration.
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.gray + (PRIOR_GRAY_PROBABILITY - self.gray) * (age / expected).min(1.0)
    }

    /// Probability that a request fails now.
    pub fn failure_probability(&self, now: Uptime, gray_duration: GrayDuration) -> f64 {
        let gray = self.gray_probability(now, gray_duration);
        gray * GRAY_FAILURE_FRACTION + (1.0 - gray) * HEALTHY_FAILURE_FRACTION
    }

    /// Updates the estimate with one piece of evidence, and the expected duration if a gray period
    /// ends with it.
    pub fn observe(&mut self, now: Uptime, evidence: Evidence, gray_duration: &mut GrayDuration) {
        let prior = self.gray_probability(now, *gray_duration);
        let (healthy, gray) = evidence.likelihoods();
        let joint = prior * gray;
        self.gray = (joint / (joint + (1.0 - prior) * healthy))
            .clamp(MIN_GRAY_PROBABILITY, MAX_GRAY_PROBABILITY);
        self.period = match self.period {
            Some(period) if self.gray < GRAY_THRESHOLD => {
                gray_duration.record(now.saturating_sub(period.start));
                None
            }
            None if self.gray < GRAY_THRESHOLD => None,
            // Most gray periods start right before their first failure.
            None => Some(GrayPeriod { start: now, expected_end: now + gray_duration.get() }),
            // The gray period outlasts its expected duration, or the next one follows at once.
            Some(period) if now > period.expected_end => Some(GrayPeriod {
                start: period.start,
                expected_end: now + gray_duration.get().mul_f64(EXTENSION_FRACTION),
            }),
            Some(period) => Some(period),
        };
        self.updated_at = now;
    }

    /// Records the ratio of one response time to the expected time of such requests.
    pub fn observe_latency(&mut self, now: Uptime, ratio: f64) {
        let current = self.latency_ratio(now);
        self.latency_ratio =
            current + LATENCY_RATIO_ALPHA * (ratio.clamp(0.1, MAX_LATENCY_RATIO) - current);
        self.latency_at = now;
    }

    /// Ratio of its response times to the expected ones: an EWMA that decays to 1 while unused.
    pub fn latency_ratio(&self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.latency_at).as_secs_f64();
        1.0 + (self.latency_ratio - 1.0) * 0.5_f64.powf(age / LATENCY_RATIO_HALF_LIFE.as_secs_f64())
    }
}
