use std::collections::VecDeque;
use std::time::Duration;

use kernel::Uptime;

/// Fraction of the ratio that is used: VMs count first attempts in windows that differ slightly.
const USED_RATIO_FRACTION: f64 = 0.9;
/// Fraction of the slack that is used: a VM that takes over has its own slack besides that which
/// its predecessor has spent.
const USED_SLACK_FRACTION: f64 = 0.6;
/// Duration that one bucket of the window covers.
const BUCKET: Duration = Duration::from_millis(500);

/// Retries of one service that this VM may send: a ratio of its own first attempts within a sliding
/// window, and a fixed share of the retries that the fleet may send without any first attempt
/// (slack).
///
/// Handles brown-outs, in which every request fails and each retry adds load. The VMs do not
/// coordinate: the budgets of all VMs add up to the budget of the fleet.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// Start of a bucket, first attempts and retries in it; oldest first.
    buckets: VecDeque<(Uptime, u32, u32)>,
}

impl WindowedRetryBudget {
    /// A budget of `ratio` times the first attempts and `slack` more retries in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        WindowedRetryBudget {
            ratio: ratio * USED_RATIO_FRACTION,
            slack: slack * USED_SLACK_FRACTION,
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Drops buckets older than the window and returns the current one.
    fn bucket(&mut self, now: Uptime) -> &mut (Uptime, u32, u32) {
        while self.buckets.front().is_some_and(|b| b.0 + self.window + BUCKET < now) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.0 + BUCKET <= now) {
            self.buckets.push_back((now, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Uptime) {
        self.bucket(now).1 += 1;
    }

    /// Whether a retry is allowed now. Only a VM that is serving a failure domain has slack: the
    /// others are many, and each has few requests.
    pub fn has_retry(&mut self, now: Uptime, is_serving: bool) -> bool {
        self.bucket(now);
        let (first, retries) =
            self.buckets.iter().fold((0, 0), |(f, r), bucket| (f + bucket.1, r + bucket.2));
        let slack = if is_serving { self.slack } else { 0.0 };
        f64::from(retries) + 1.0 <= slack + self.ratio * f64::from(first)
    }

    /// Takes a retry from the budget if one is allowed.
    pub fn take_retry(&mut self, now: Uptime, is_serving: bool) -> bool {
        let has = self.has_retry(now, is_serving);
        if has {
            self.bucket(now).2 += 1;
        }
        has
    }
}
