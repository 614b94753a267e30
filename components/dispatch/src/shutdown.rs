use std::time::Duration;

use kernel::Uptime;

/// Fraction of the grace period (from SIGTERM to SIGKILL) during which a request is taken by its
/// expected time. Callers learn within this time that they should use another VM.
const ESTIMATE_FRACTION: f64 = 0.4;
/// Fraction of the grace period during which callers with old addresses may still connect. A caller
/// whose connection is refused takes another VM, whereas one with a 503 may have no second try.
const LISTEN_FRACTION: f64 = 0.45;
/// Fraction of the grace period after which every request that is still running gets a response.
/// The rest is for sending the responses on a busy machine.
const ANSWER_FRACTION: f64 = 0.93;
/// Fraction of the grace period until which callers' connections are kept for a request that has begun
/// to arrive.
const KEEP_FRACTION: f64 = 0.95;
/// Fraction of the grace period after which the process exits, whatever is still open.
const EXIT_FRACTION: f64 = 0.97;
/// Multiple of its expected time that must be left for a request that is taken by it. One request
/// in a hundred takes longer.
const EXPECTED_TIME_FACTOR: f64 = 4.0;

/// Course of a planned stop.
///
/// Handles callers that still use the address of a stopping VM. Every request that was taken gets a
/// response before the process ends. In the first part of the grace period, a request is taken if
/// its expected time leaves room, because a caller may have no second try; the few that take
/// longer, and those of a route for which the time is a guess, get an error at `answer_by`. Later, one is taken only if its deadline passes before
/// `answer_by`. All others are refused at once without running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// Until when requests are taken by their expected time. Before `listen_until`.
    pub estimate_until: Uptime,
    /// When the listeners close. Before `answer_by`.
    pub listen_until: Uptime,
    /// When the requests that are still running get a response. Before `exit_at`.
    pub answer_by: Uptime,
    /// Until when connections of callers are kept for a request that has begun to arrive. Between
    /// `answer_by` and `exit_at`.
    pub keep_until: Uptime,
    /// When the process exits.
    pub exit_at: Uptime,
}

impl StopSchedule {
    /// Schedule of a process that was asked to stop at `stopped_at` and is killed after `grace`.
    pub fn new(stopped_at: Uptime, grace: Duration) -> Self {
        let at = |fraction| stopped_at + grace.mul_f64(fraction);
        StopSchedule {
            estimate_until: at(ESTIMATE_FRACTION),
            listen_until: at(LISTEN_FRACTION),
            answer_by: at(ANSWER_FRACTION),
            keep_until: at(KEEP_FRACTION),
            exit_at: at(EXIT_FRACTION),
        }
    }

    /// Latest time at which a request may be sent to a backend server; zero for never.
    ///
    /// `respond_by` is when it has its response at the latest, `expected` its expected time.
    pub fn send_until(&self, respond_by: Uptime, expected: Duration) -> Uptime {
        if respond_by <= self.answer_by {
            return respond_by;
        }
        let latest = self.answer_by.saturating_sub(expected.mul_f64(EXPECTED_TIME_FACTOR));
        latest.min(self.estimate_until)
    }
}
