use std::collections::VecDeque;
use std::time::Duration;

use kernel::Uptime;

/// Duration that one bucket covers.
const BUCKET: Duration = Duration::from_millis(100);
/// Window that shows a steady fraction of failures. The platform checks the minimum fraction of
/// backend servers in use over the same span.
const LONG_WINDOW: Duration = Duration::from_secs(2);
/// Window that shows a sudden loss of backend servers.
const SHORT_WINDOW: Duration = Duration::from_millis(500);
/// Failures below which the long window is ignored.
const LONG_MIN_FAILURES: u32 = 2;
/// Failures below which the short window is ignored: a gray period alone causes a few.
const SHORT_MIN_FAILURES: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Uptime,
    served: u32,
    failed: u32,
}

/// Outcomes of a service's requests in sliding windows.
///
/// Handles a sudden loss of backend servers: the failure fraction is known within half a second,
/// early enough to spread requests over all other backend servers within two seconds.
#[derive(Clone, Debug, Default)]
pub struct OutcomeWindow {
    /// Oldest first.
    buckets: VecDeque<Bucket>,
}

impl OutcomeWindow {
    /// Counts a request whose final outcome is known.
    pub fn record(&mut self, now: Uptime, served: bool) {
        while self.buckets.front().is_some_and(|bucket| bucket.start + LONG_WINDOW + BUCKET < now) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.start + BUCKET <= now) {
            self.buckets.push_back(Bucket { start: now, served: 0, failed: 0 });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            if served {
                bucket.served += 1;
            } else {
                bucket.failed += 1;
            }
        }
    }

    fn fraction_within(&self, now: Uptime, window: Duration, min_failures: u32) -> f64 {
        let recent = self.buckets.iter().rev().take_while(|bucket| bucket.start + window >= now);
        let (served, failed) =
            recent.fold((0, 0), |(served, failed), b| (served + b.served, failed + b.failed));
        if failed < min_failures { 0.0 } else { f64::from(failed) / f64::from(served + failed) }
    }

    /// Fraction of the requests that fail: the larger of the two windows' fractions.
    pub fn failure_fraction(&self, now: Uptime) -> f64 {
        let long = self.fraction_within(now, LONG_WINDOW, LONG_MIN_FAILURES);
        long.max(self.fraction_within(now, SHORT_WINDOW, SHORT_MIN_FAILURES))
    }
}
