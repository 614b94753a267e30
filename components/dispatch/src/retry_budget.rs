use std::collections::VecDeque;
use std::time::Duration;

use kernel::Uptime;

/// Part of the ratio that is used: first sends of several VMs are counted in slightly different
/// windows.
const RATIO_USED: f64 = 0.9;
/// Part of the free repeats that is used: a VM that takes over has its own besides those that the
/// one before it has spent.
const SLACK_USED: f64 = 0.6;
/// Length of a step of the window.
const STEP: Duration = Duration::from_millis(500);

/// Repeats of one service that this VM may send: a part of its own first sends within a sliding
/// window, and a fixed part of the allowance that the fleet has without any.
///
/// Answers brown-outs, in which every request fails and each repeat adds load. No VM asks another:
/// the parts of all VMs add up to the budget of the fleet.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// Start of a step, first sends and repeats in it; oldest first.
    steps: VecDeque<(Uptime, u32, u32)>,
}

impl RetryBudget {
    /// An allowance of `ratio` of the first sends and `slack` more in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        RetryBudget {
            ratio: ratio * RATIO_USED,
            slack: slack * SLACK_USED,
            window,
            steps: VecDeque::new(),
        }
    }

    fn step(&mut self, now: Uptime) -> &mut (Uptime, u32, u32) {
        while self.steps.front().is_some_and(|s| s.0 + self.window + STEP < now) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| s.0 + STEP <= now) {
            self.steps.push_back((now, 0, 0));
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }

    /// Counts a first send.
    pub fn record_first_attempt(&mut self, now: Uptime) {
        self.step(now).1 += 1;
    }

    /// Whether a repeat is allowed now. The fixed part is for VMs that serve a failure domain: the
    /// others are many, and each has few requests.
    pub fn has_retry(&mut self, now: Uptime, serves: bool) -> bool {
        self.step(now);
        let (first, repeats) =
            self.steps.iter().fold((0, 0), |(f, r), step| (f + step.1, r + step.2));
        let slack = if serves { self.slack } else { 0.0 };
        f64::from(repeats) + 1.0 <= slack + self.ratio * f64::from(first)
    }

    /// Takes a repeat if one is allowed.
    pub fn take_retry(&mut self, now: Uptime, serves: bool) -> bool {
        let has = self.has_retry(now, serves);
        if has {
            self.step(now).2 += 1;
        }
        has
    }
}
