use std::time::Duration;

use kernel::{EjectReason, Uptime};

use crate::stats::ln_tail;

/// Evidence at which a backend server becomes suspect (natural logarithm of a likelihood ratio).
pub(crate) const SUSPECT_THRESHOLD: f64 = 6.0;
/// Evidence below which a suspect backend server is cleared.
pub(crate) const CLEAR_THRESHOLD: f64 = 3.0;
/// Evidence at which a stalling or failing backend server is ejected.
const EJECT_THRESHOLD: f64 = 14.0;
/// Evidence at which a slow backend server is ejected. Every response is a sample of slowness, so a
/// chance of e^-14 for each would be about one false ejection a day.
const SLOW_EJECT_THRESHOLD: f64 = 18.0;
/// Maximum evidence of a single ended attempt, so that no attempt ejects on its own.
const MAX_ATTEMPT_EVIDENCE: f64 = 8.0;
/// Age below which an unanswered request that ended may have been delayed by a mere pause.
const SHORT_STALL: Duration = Duration::from_secs(1);
/// Maximum total evidence of such short stalls, so that several pauses do not eject.
const MAX_SHORT_STALL_EVIDENCE: f64 = 10.0;
/// Half-life of the evidence, for decay while no new evidence arrives.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Assumed fraction of requests that a stalling backend server stalls.
const STALL_FRACTION: f64 = 0.3;
/// Slowdown that the latency test is tuned to; it also detects larger ones.
const SLOWDOWN_FACTOR: f64 = 3.0;
/// Assumed fraction of errors of a healthy and of a failing backend server.
const HEALTHY_ERROR_FRACTION: f64 = 0.01;
const FAILING_ERROR_FRACTION: f64 = 0.3;
/// Bounds of a normalised latency: one fast response must not cancel much slowness, and one slow
/// response must not make a backend server look slow.
const MIN_Z: f64 = -1.5;
const MAX_Z: f64 = 4.0;

/// Evidence of one kind: a cumulative sum (CUSUM) of log-likelihood ratios, never below 0.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cusum {
    /// Value at the last change.
    value: f64,
    /// Time of the last change.
    updated: Uptime,
    /// When the attempt was sent that last raised the sum from about 0.
    onset: Uptime,
    /// When that attempt ended.
    onset_end: Uptime,
    /// End of the last attempt that `add_non_overlapping` counted against the backend server.
    last_counted: Option<Uptime>,
}

impl Cusum {
    /// The value at `now`, after decay.
    pub fn value(&self, now: Uptime) -> f64 {
        let half_lives = now.saturating_sub(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * (-half_lives).exp2()
    }

    /// When the attempt was sent that last raised the sum from about 0.
    pub fn onset(&self) -> Uptime {
        self.onset
    }

    /// End of the last attempt that was counted against the backend server, among those that must
    /// not overlap.
    pub fn last_counted(&self) -> Option<Uptime> {
        self.last_counted
    }

    /// Adds evidence of an attempt sent at `sent`.
    fn add(&mut self, now: Uptime, sent: Uptime, amount: f64) {
        let value = self.value(now);
        if value < 0.1 && amount > 0.0 {
            self.onset = sent;
            self.onset_end = now;
        }
        self.value = (value + amount).max(0.0);
        self.updated = now;
    }

    /// Like `add`, but skips evidence against the backend server from attempts that overlap the
    /// last counted one: a single pause delays every request in flight.
    fn add_non_overlapping(&mut self, now: Uptime, sent: Uptime, amount: f64) {
        if amount <= 0.0 {
            self.add(now, sent, amount);
        } else if self.last_counted.is_none_or(|at| sent >= at) {
            self.last_counted = Some(now);
            self.add(now, sent, amount.min(MAX_ATTEMPT_EVIDENCE));
        }
    }

    /// Replaces the value.
    pub fn set(&mut self, now: Uptime, value: f64) {
        self.value = value;
        self.updated = now;
    }
}

/// Evidence against one backend server from ended attempts, by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Score {
    /// Requests that ended without a response.
    pub stall: Cusum,
    /// Slow responses.
    pub slow: Cusum,
    /// Errors.
    pub error: Cusum,
}

/// Minimum evidence for an ejection.
pub(crate) fn ejection_threshold(reason: EjectReason) -> f64 {
    match reason {
        EjectReason::Stalled | EjectReason::Failing => EJECT_THRESHOLD,
        EjectReason::Slow => SLOW_EJECT_THRESHOLD,
    }
}

/// Evidence of a request that is unanswered at an age of `z` standard deviations.
pub(crate) fn score_age(z: f64) -> f64 {
    (STALL_FRACTION.ln() - ln_tail(z)).max(0.0)
}

impl Score {
    /// Records a complete response. `z` is the normalised deviation of its latency, `stddev` the
    /// standard deviation of ln(latency) of healthy backend servers.
    pub fn record_success(&mut self, now: Uptime, sent: Uptime, z: f64, stddev: f64) {
        self.stall.add(now, sent, (1.0 - STALL_FRACTION).ln());
        self.error.add(
            now,
            sent,
            ((1.0 - FAILING_ERROR_FRACTION) / (1.0 - HEALTHY_ERROR_FRACTION)).ln(),
        );
        let shift = SLOWDOWN_FACTOR.ln() / stddev;
        let z = z.clamp(MIN_Z, MAX_Z);
        self.slow.add_non_overlapping(now, sent, shift * (z - shift / 2.0));
    }

    /// Records an error.
    pub fn record_error(&mut self, now: Uptime, sent: Uptime) {
        self.error.add(now, sent, (FAILING_ERROR_FRACTION / HEALTHY_ERROR_FRACTION).ln());
    }

    /// Records a request that ended unanswered at an age of `z` standard deviations.
    /// `last_response` is when the backend server last responded to any request.
    pub fn record_no_response(
        &mut self,
        now: Uptime,
        sent: Uptime,
        z: f64,
        last_response: Option<Uptime>,
    ) {
        let evidence = score_age(z);
        if evidence > 0.0 {
            let before = self.stall.value(now);
            self.stall.add_non_overlapping(now, sent, evidence);
            // Without any response since the first such request it is more than a pause, and the
            // limit does not apply.
            let responded = last_response.is_some_and(|at| at > self.stall.onset_end);
            if responded && now.saturating_sub(sent) < SHORT_STALL {
                self.stall
                    .set(now, self.stall.value(now).min(before.max(MAX_SHORT_STALL_EVIDENCE)));
            }
        }
    }

    /// Returns the strongest kind of evidence with its reason and onset. `pending` is the evidence
    /// of requests in flight, and `oldest` is when the oldest of them was sent.
    pub fn strongest(
        &self,
        now: Uptime,
        pending: f64,
        oldest: Option<Uptime>,
    ) -> (f64, EjectReason, Uptime) {
        let stall = self.stall.value(now);
        let stall_onset = if stall < 0.1 { oldest.unwrap_or(now) } else { self.stall.onset() };
        let kinds = [
            (stall + pending, EjectReason::Stalled, stall_onset),
            (self.slow.value(now), EjectReason::Slow, self.slow.onset()),
            (self.error.value(now), EjectReason::Failing, self.error.onset()),
        ];
        kinds.into_iter().fold(kinds[0], |best, kind| if kind.0 > best.0 { kind } else { best })
    }

    /// Clears the evidence of slow responses, for when the whole service is slow.
    pub fn reset_slowness(&mut self, now: Uptime) {
        self.slow.set(now, 0.0);
    }
}
