//! How soon the failure fraction of a service is known.

use std::time::Duration;

use dispatch::{Coverage, OutcomeWindow};

/// Records `rate` requests per second from `from` to `to` milliseconds; one in `fail_interval`
/// fails.
fn record(outcomes: &mut OutcomeWindow, from: u64, to: u64, rate: u64, fail_interval: u64) {
    let gap = 1000 / rate;
    for (number, at) in (from..to).step_by(gap as usize).enumerate() {
        outcomes
            .record(Duration::from_millis(at), !(number as u64 + 1).is_multiple_of(fail_interval));
    }
}

// Guards against a late reaction to a sudden loss: on scale-1 of the grown site a failure fraction
// of 0.1 was known a second after nine backend servers crashed, too late to send requests to the
// idle ones within two seconds.
#[test]
fn sudden_loss_shows_within_half_a_second() {
    let mut outcomes = OutcomeWindow::default();
    record(&mut outcomes, 0, 4000, 100, 40);
    let before = outcomes.failure_fraction(Duration::from_millis(4000));
    assert!(before < 0.05, "{before} before");
    record(&mut outcomes, 4000, 4500, 100, 4);
    let after = outcomes.failure_fraction(Duration::from_millis(4500));
    let idle =
        Coverage { min_fraction: 0.7, failure_fraction: after, has_retryable: false }.max_idle(15);
    assert_eq!(idle, 0, "{after} after");
}

#[test]
fn past_loss_no_longer_counts() {
    let mut outcomes = OutcomeWindow::default();
    record(&mut outcomes, 0, 1000, 100, 3);
    record(&mut outcomes, 1000, 4000, 100, 50);
    let now = outcomes.failure_fraction(Duration::from_millis(4000));
    assert!(now < 0.04, "{now}");
}

#[test]
fn few_failures_at_a_low_rate_are_ignored() {
    let mut outcomes = OutcomeWindow::default();
    record(&mut outcomes, 0, 400, 10, 4);
    assert_eq!(outcomes.failure_fraction(Duration::from_millis(400)), 0.0);
}
