use std::time::Duration;

use kernel::{EjectReason, Uptime};

use crate::baseline::ln_tail;

/// A backend server is suspect at this much evidence (natural logarithm of a likelihood ratio).
pub(crate) const SUSPECT: f64 = 6.0;
/// A suspect backend server is cleared below this much.
pub(crate) const CLEARED: f64 = 3.0;
/// A stalling or failing backend server is ejected at this much.
const EJECT: f64 = 14.0;
/// A slow backend server is ejected at this much. Every answer is a sample of slowness, so that
/// e^-14 for each would be a false ejection a day.
const EJECT_SLOW: f64 = 18.0;
/// Most that one ended attempt adds, so that no single one ejects.
const SINGLE: f64 = 8.0;
/// Age below which a request that was given up may have met no more than a pause.
const BRIEF: Duration = Duration::from_secs(1);
/// Most evidence that such requests add up to; several pauses must not eject.
const BRIEF_SUM: f64 = 10.0;
/// Half-life of evidence that nothing renews.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Part of the requests that a stalling backend server is supposed to stall.
const STALL_PART: f64 = 0.3;
/// Slowness that the latency test is tuned to. The test is also sensitive to more.
const SLOW_FACTOR: f64 = 3.0;
/// Part of errors of a healthy and of a failing backend server.
const ERROR_PARTS: (f64, f64) = (0.01, 0.3);
/// Bounds of a normalised latency: a fast answer must not buy much slowness, and one straggler
/// must not look like a slow backend server.
const Z_RANGE: (f64, f64) = (-1.5, 4.0);

/// Evidence of one kind: a cumulative sum of log likelihood ratios that never falls below 0.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sum {
    /// The sum when it last changed. At least 0.
    value: f64,
    /// When it last changed.
    at: Uptime,
    /// When the attempt was sent that made it leave 0 last.
    since: Uptime,
    /// When that attempt ended.
    begun: Uptime,
    /// When the last evidence against the backend server that counted ended.
    counted: Option<Uptime>,
}

impl Sum {
    /// The sum now.
    pub fn value(&self, now: Uptime) -> f64 {
        let halves = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * (-halves).exp2()
    }

    /// When the evidence began.
    pub fn since(&self) -> Uptime {
        self.since
    }

    /// When the last evidence against the backend server that counted ended.
    pub fn counted(&self) -> Option<Uptime> {
        self.counted
    }

    /// Adds evidence that came from an attempt sent at `sent`.
    fn add(&mut self, now: Uptime, sent: Uptime, amount: f64) {
        let value = self.value(now);
        if value < 0.1 && amount > 0.0 {
            self.since = sent;
            self.begun = now;
        }
        self.value = (value + amount).max(0.0);
        self.at = now;
    }

    /// Like `add`, but attempts that overlap the last counted one do not count against the
    /// backend server: one pause delays all requests that it meets.
    fn add_once(&mut self, now: Uptime, sent: Uptime, amount: f64) {
        if amount <= 0.0 {
            self.add(now, sent, amount);
        } else if self.counted.is_none_or(|at| sent >= at) {
            self.counted = Some(now);
            self.add(now, sent, amount.min(SINGLE));
        }
    }

    /// Sets the sum.
    pub fn set(&mut self, now: Uptime, value: f64) {
        self.value = value;
        self.at = now;
    }
}

/// Evidence against one backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Score {
    /// Unanswered requests that have ended.
    pub stall: Sum,
    /// Slow answers.
    pub slow: Sum,
    /// Errors.
    pub fail: Sum,
}

/// Least evidence that ejects.
pub(crate) fn ejects_at(reason: EjectReason) -> f64 {
    match reason {
        EjectReason::Stalled | EjectReason::Failing => EJECT,
        EjectReason::Slow => EJECT_SLOW,
    }
}

/// Evidence of a request that has been unanswered for an age of `z` deviations.
pub(crate) fn weigh_age(z: f64) -> f64 {
    (STALL_PART.ln() - ln_tail(z)).max(0.0)
}

impl Score {
    /// Takes a whole answer; `z` is the deviation of its latency and `spread` the deviation of
    /// the logarithm of healthy latencies.
    pub fn succeed(&mut self, now: Uptime, sent: Uptime, z: f64, spread: f64) {
        self.stall.add(now, sent, (1.0 - STALL_PART).ln());
        self.fail.add(now, sent, ((1.0 - ERROR_PARTS.1) / (1.0 - ERROR_PARTS.0)).ln());
        let shift = SLOW_FACTOR.ln() / spread;
        let z = z.clamp(Z_RANGE.0, Z_RANGE.1);
        self.slow.add_once(now, sent, shift * (z - shift / 2.0));
    }

    /// Takes an error.
    pub fn fail(&mut self, now: Uptime, sent: Uptime) {
        self.fail.add(now, sent, (ERROR_PARTS.1 / ERROR_PARTS.0).ln());
    }

    /// Takes the end of a request that was unanswered at an age of `z` deviations.
    /// `alive` is when the backend server last answered anything.
    pub fn abandon(&mut self, now: Uptime, sent: Uptime, z: f64, alive: Option<Uptime>) {
        let weight = weigh_age(z);
        if weight > 0.0 {
            let before = self.stall.value(now);
            self.stall.add_once(now, sent, weight);
            // One that has answered nothing since the first such request does not just pause.
            let answered = alive.is_some_and(|at| at > self.stall.begun);
            if answered && now.saturating_sub(sent) < BRIEF {
                self.stall.set(now, self.stall.value(now).min(before.max(BRIEF_SUM)));
            }
        }
    }

    /// The strongest kind of evidence now, with when it began. `waiting` is the evidence of
    /// requests in flight and `oldest` the time that the oldest of them was sent.
    pub fn strongest(
        &self,
        now: Uptime,
        waiting: f64,
        oldest: Option<Uptime>,
    ) -> (f64, EjectReason, Uptime) {
        let stall = self.stall.value(now);
        let begun = if stall < 0.1 { oldest.unwrap_or(now) } else { self.stall.since() };
        let kinds = [
            (stall + waiting, EjectReason::Stalled, begun),
            (self.slow.value(now), EjectReason::Slow, self.slow.since()),
            (self.fail.value(now), EjectReason::Failing, self.fail.since()),
        ];
        kinds.into_iter().fold(kinds[0], |best, kind| if kind.0 > best.0 { kind } else { best })
    }

    /// Forgets slow answers; used when the whole service is slow.
    pub fn forgive_slowness(&mut self, now: Uptime) {
        self.slow.set(now, 0.0);
    }
}
