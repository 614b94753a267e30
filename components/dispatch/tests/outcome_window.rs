//! How soon the failing part of a service's requests is known.

use std::time::Duration;

use dispatch::{Coverage, OutcomeWindow};

/// Plays `rate` requests a second from `from` to `to` milliseconds, of which one in `bad` fails.
fn play(outcomes: &mut OutcomeWindow, from: u64, to: u64, rate: u64, bad: u64) {
    let gap = 1000 / rate;
    for (number, at) in (from..to).step_by(gap as usize).enumerate() {
        outcomes.record(Duration::from_millis(at), !(number as u64 + 1).is_multiple_of(bad));
    }
}

// On scale-1 of the grown site the tenth that failed was known a second after a crash of nine
// backend servers, too late to give the idle ones work within two seconds.
#[test]
fn a_sudden_loss_is_known_within_half_a_second() {
    let mut outcomes = OutcomeWindow::default();
    play(&mut outcomes, 0, 4000, 100, 40);
    let before = outcomes.failure_fraction(Duration::from_millis(4000));
    assert!(before < 0.05, "{before} before");
    play(&mut outcomes, 4000, 4500, 100, 4);
    let after = outcomes.failure_fraction(Duration::from_millis(4500));
    let idle =
        Coverage { min_fraction: 0.7, failure_fraction: after, has_retryable: false }.max_idle(15);
    assert_eq!(idle, 0, "{after} after");
}

#[test]
fn a_loss_that_is_over_is_forgotten() {
    let mut outcomes = OutcomeWindow::default();
    play(&mut outcomes, 0, 1000, 100, 3);
    play(&mut outcomes, 1000, 4000, 100, 50);
    let now = outcomes.failure_fraction(Duration::from_millis(4000));
    assert!(now < 0.04, "{now}");
}

#[test]
fn a_few_failures_of_a_quiet_service_say_nothing() {
    let mut outcomes = OutcomeWindow::default();
    play(&mut outcomes, 0, 400, 10, 4);
    assert_eq!(outcomes.failure_fraction(Duration::from_millis(400)), 0.0);
}
