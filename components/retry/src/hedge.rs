use std::time::Duration;

use hdrhistogram::Histogram;
use kernel::Uptime;

/// Quantile of the attempt latency that is used as the hedge delay. 0.95 doubled the extra load in
/// normal operation, and no more requests met their deadline there.
const DELAY_QUANTILE: f64 = 0.98;
/// Quantile of the attempt latency that a hedge is assumed to take.
const FAST_QUANTILE: f64 = 0.1;
/// Number of samples after which the older histogram is replaced, so that the delay follows changes
/// of the service.
const WINDOW_SAMPLES: u64 = 1_000;
/// Number of samples between two updates of the delay.
const UPDATE_SAMPLES: u64 = 100;
/// Minimum hedge delay; below it a second attempt costs more than it can gain.
const MIN_DELAY: Duration = Duration::from_millis(5);
/// Maximum recorded latency; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Computes the delay after which a second attempt is worth its cost, for one service.
#[derive(Debug)]
pub struct HedgePolicy {
    recent: Histogram<u32>,
    older: Histogram<u32>,
    /// Hedge delay and latency of a fast attempt; `None` while there are too few samples.
    delays: Option<(Duration, Duration)>,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the constant bounds are valid")
}

impl Default for HedgePolicy {
    fn default() -> Self {
        HedgePolicy { recent: histogram(), older: histogram(), delays: None }
    }
}

impl HedgePolicy {
    /// Records the latency of a successful attempt.
    pub fn record(&mut self, latency: Duration) {
        self.recent.saturating_record((latency.as_micros() as u64).clamp(1, MAX_LATENCY_US));
        if self.recent.len().is_multiple_of(UPDATE_SAMPLES) {
            self.update_delays();
        }
        if self.recent.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
        }
    }

    fn update_delays(&mut self) {
        let mut all = self.older.clone();
        if all.add(&self.recent).is_ok() {
            let at = |q: f64| Duration::from_micros(all.value_at_quantile(q));
            self.delays = Some((at(DELAY_QUANTILE).max(MIN_DELAY), at(FAST_QUANTILE)));
        }
    }

    /// Delay after which an attempt is hedged; `None` while there are too few samples.
    pub fn delay(&self) -> Option<Duration> {
        self.delays.map(|(delay, _)| delay)
    }

    /// Time from `now` until the hedge of an attempt that started at `started`; `None` if the
    /// attempt is not to be hedged. The caller takes the hedge out of the budget with
    /// [`crate::RetryBudget::take_hedge`] when it sends the hedge.
    pub fn time_to_hedge(
        &self,
        now: Uptime,
        started: Uptime,
        deadline: Uptime,
        idempotent: bool,
    ) -> Option<Duration> {
        let (delay, fast) = self.delays.filter(|_| idempotent)?;
        let at = (started + delay).max(now);
        // Not even a fast hedge that starts this late can meet the deadline.
        (at + fast < deadline).then(|| at - now)
    }
}
