use std::collections::VecDeque;
use std::time::Duration;

use kernel::Uptime;

/// Length of a step of the windows.
const STEP: Duration = Duration::from_millis(100);
/// Window in which a steady part of failures shows: the span over which the floor is counted.
const LONG: Duration = Duration::from_secs(2);
/// Window in which a sudden loss of backend servers shows.
const SHORT: Duration = Duration::from_millis(500);
/// Failures in the long window below which it says nothing.
const LONG_LEAST: u32 = 2;
/// Failures in the short window below which it says nothing: a gray spell alone causes a few.
const SHORT_LEAST: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Step {
    start: Uptime,
    served: u32,
    failed: u32,
}

/// Outcomes of a service's requests over the last seconds.
///
/// Answers a sudden loss of backend servers: the part that fails is known within half a second, in
/// time to spread work over all others before two seconds have passed.
#[derive(Clone, Debug, Default)]
pub struct OutcomeWindow {
    /// Oldest first.
    steps: VecDeque<Step>,
}

impl OutcomeWindow {
    /// Counts a request that has its final answer.
    pub fn record(&mut self, now: Uptime, served: bool) {
        while self.steps.front().is_some_and(|step| step.start + LONG + STEP < now) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.start + STEP <= now) {
            self.steps.push_back(Step { start: now, served: 0, failed: 0 });
        }
        if let Some(step) = self.steps.back_mut() {
            if served {
                step.served += 1;
            } else {
                step.failed += 1;
            }
        }
    }

    fn failing_within(&self, now: Uptime, window: Duration, least: u32) -> f64 {
        let recent = self.steps.iter().rev().take_while(|step| step.start + window >= now);
        let (served, failed) =
            recent.fold((0, 0), |(served, failed), s| (served + s.served, failed + s.failed));
        if failed < least { 0.0 } else { f64::from(failed) / f64::from(served + failed) }
    }

    /// Part of the requests that fails, over the window in which it is larger.
    pub fn failure_fraction(&self, now: Uptime) -> f64 {
        let long = self.failing_within(now, LONG, LONG_LEAST);
        long.max(self.failing_within(now, SHORT, SHORT_LEAST))
    }
}
