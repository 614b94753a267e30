//! Repeats of a whole fleet within a sliding window.

use std::time::Duration;

use dispatch::RetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 62.0;
const WINDOW: Duration = Duration::from_secs(10);

fn allowance() -> RetryBudget {
    RetryBudget::new(RATIO, SLACK / 4.0, WINDOW)
}

// Each of 40 standbys had the free repeats of a home; a brown-out broke the budget by 2 of 215.
#[test]
fn many_standbys_with_few_requests_add_no_free_repeats() {
    let mut repeats = 0;
    for _ in 0..40 {
        let mut standby = allowance();
        for second in 0..10 {
            let now = Duration::from_secs(second);
            standby.record_first_attempt(now);
            repeats += u32::from(standby.take_retry(now, false));
        }
    }
    assert!(f64::from(repeats) <= RATIO * 400.0, "{repeats} repeats of 400 requests");
}

#[test]
fn a_brown_out_keeps_the_fleet_within_its_budget() {
    let mut homes: Vec<_> = (0..4).map(|_| allowance()).collect();
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for step in 0..3000 {
        let now = Duration::from_millis(step * 10);
        for home in &mut homes {
            home.record_first_attempt(now);
            sent.push((now, false));
            if home.take_retry(now, true) {
                sent.push((now, true));
            }
        }
    }
    for start in (0..20).map(Duration::from_secs) {
        let within = sent.iter().filter(|(at, _)| *at >= start && *at < start + WINDOW);
        let (repeats, first): (Vec<&(Duration, bool)>, Vec<_>) =
            within.partition(|(_, repeat)| *repeat);
        let bound = RATIO * first.len() as f64 + SLACK;
        assert!(repeats.len() as f64 <= bound, "{} repeats, {bound} allowed", repeats.len());
    }
}
