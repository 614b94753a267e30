//! Retries of the entire fleet within a sliding window.

use std::time::Duration;

use dispatch::WindowedRetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 62.0;
const WINDOW: Duration = Duration::from_secs(10);

fn budget() -> WindowedRetryBudget {
    WindowedRetryBudget::new(RATIO, SLACK / 4.0, WINDOW)
}

// Guards against slack for standbys: each of 40 standbys had the slack of a leader, and in a
// brown-out the fleet exceeded its budget by 2 of 215 retries.
#[test]
fn standbys_with_few_requests_have_no_slack() {
    let mut retries = 0;
    for _ in 0..40 {
        let mut standby = budget();
        for second in 0..10 {
            let now = Duration::from_secs(second);
            standby.record_first_attempt(now);
            retries += u32::from(standby.take_retry(now, false));
        }
    }
    assert!(f64::from(retries) <= RATIO * 400.0, "{retries} retries of 400 requests");
}

#[test]
fn fleet_stays_within_its_budget_in_a_brown_out() {
    let mut leaders: Vec<_> = (0..4).map(|_| budget()).collect();
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for step in 0..3000 {
        let now = Duration::from_millis(step * 10);
        for leader in &mut leaders {
            leader.record_first_attempt(now);
            sent.push((now, false));
            if leader.take_retry(now, true) {
                sent.push((now, true));
            }
        }
    }
    for start in (0..20).map(Duration::from_secs) {
        let within = sent.iter().filter(|(at, _)| *at >= start && *at < start + WINDOW);
        let (retries, first): (Vec<&(Duration, bool)>, Vec<_>) =
            within.partition(|(_, is_retry)| *is_retry);
        let bound = RATIO * first.len() as f64 + SLACK;
        assert!(retries.len() as f64 <= bound, "{} retries, {bound} allowed", retries.len());
    }
}
