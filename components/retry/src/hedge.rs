use std::time::Duration;

use hdrhistogram::Histogram;
use kernel::Uptime;

/// Part of the attempts that are faster than the hedge delay. 0.95 doubled the extra load of calm
/// times and brought no more requests in time there.
const DELAY_QUANTILE: f64 = 0.98;
/// Part of the attempts that are faster than a hedge is assumed to be.
const FAST_QUANTILE: f64 = 0.1;
/// Samples after which the older half is dropped, so that the delay follows the service.
const WINDOW_SAMPLES: u64 = 1_000;
/// Samples between two derivations of the delay.
const UPDATE_SAMPLES: u64 = 100;
/// Shortest hedge delay: a second attempt costs more than it can win below this.
const MIN_DELAY: Duration = Duration::from_millis(5);
/// Longest time recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Derives the time after which a second attempt is worth its cost, for one service.
#[derive(Debug)]
pub struct HedgePolicy {
    recent: Histogram<u32>,
    older: Histogram<u32>,
    /// Hedge delay and the time of a fast attempt; none while too little is known.
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
    /// Adds the time of one successful attempt.
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

    /// Time after which an attempt is hedged; none while too little is known.
    pub fn delay(&self) -> Option<Duration> {
        self.delays.map(|(delay, _)| delay)
    }

    /// Time from `now` until the hedge of an attempt that started at `started`; none if there is
    /// to be no hedge. The budget is taken with [`crate::RetryBudget::take_hedge`] when the hedge
    /// is sent, not now.
    pub fn time_to_hedge(
        &self,
        now: Uptime,
        started: Uptime,
        deadline: Uptime,
        idempotent: bool,
    ) -> Option<Duration> {
        let (delay, fast) = self.delays.filter(|_| idempotent)?;
        let at = (started + delay).max(now);
        // A hedge that starts in the last part of the time left cannot be in time.
        (at + fast < deadline).then(|| at - now)
    }
}
