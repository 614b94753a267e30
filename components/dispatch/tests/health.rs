//! Estimates of gray failures, over gray periods like those of the platform's backend servers.

use std::time::Duration;

use dispatch::{Evidence, GrayDuration, Health};
use kernel::Uptime;

fn at(seconds: f64) -> Uptime {
    Duration::from_secs_f64(seconds)
}

#[test]
fn one_failure_suffices_to_avoid_and_one_success_to_prefer() {
    let mut gray_duration = GrayDuration::default();
    let mut health = Health::new(at(0.0));
    health.observe(at(1.0), Evidence::Success, &mut gray_duration);
    assert!(health.gray_probability(at(1.0), gray_duration) < 0.1);
    health.observe(at(1.1), Evidence::Failure, &mut gray_duration);
    assert!(health.gray_probability(at(1.1), gray_duration) > 0.8);
}

// Guards against an estimate that decays too early: within 3 s of a gray period of 9 s it was back
// at the prior, and each of ten gray backend servers failed one request per second.
#[test]
fn estimate_holds_for_the_expected_gray_duration() {
    let mut gray_duration = GrayDuration::default();
    let mut health = Health::new(at(0.0));
    health.observe(at(1.0), Evidence::Failure, &mut gray_duration);
    health.observe(at(1.2), Evidence::Failure, &mut gray_duration);
    assert!(health.gray_probability(at(8.0), gray_duration) > 0.9);
    let over = at(1.0) + gray_duration.get() + at(0.1);
    assert!(health.gray_probability(over, gray_duration) < 0.5);
}

#[test]
fn gray_duration_converges_to_the_actual_one() {
    for actual in [4.0, 12.0] {
        let mut gray_duration = GrayDuration::default();
        let mut now = 0.0;
        for _ in 0..60 {
            let mut health = Health::new(at(now));
            for step in 0..((actual / 0.25) as u32 + 8) {
                let since = f64::from(step) * 0.25;
                let gray = since < actual;
                let evidence = if gray { Evidence::Failure } else { Evidence::Success };
                health.observe(at(now + since), evidence, &mut gray_duration);
            }
            now += 40.0;
        }
        let estimate = gray_duration.get().as_secs_f64();
        assert!((estimate - actual).abs() < 1.5, "estimated {estimate} s, actual {actual} s");
    }
}

#[test]
fn one_failure_among_successes_is_soon_outweighed() {
    let mut gray_duration = GrayDuration::default();
    let mut health = Health::new(at(0.0));
    for step in 0..20 {
        health.observe(at(f64::from(step) * 0.05), Evidence::Success, &mut gray_duration);
    }
    health.observe(at(1.0), Evidence::Failure, &mut gray_duration);
    for step in 0..3 {
        health.observe(at(1.05 + f64::from(step) * 0.05), Evidence::Success, &mut gray_duration);
    }
    assert!(health.gray_probability(at(1.2), gray_duration) < 0.2);
}

#[test]
fn estimate_is_a_probability_for_any_evidence() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let kinds = [Evidence::Success, Evidence::Failure, Evidence::Broken, Evidence::Overdue];
        let mut gray_duration = GrayDuration::default();
        let mut health = Health::new(Duration::ZERO);
        let mut now = Duration::ZERO;
        steps.into_iter().all(|(kind, pause)| {
            now += Duration::from_millis(u64::from(pause));
            health.observe(now, kinds[usize::from(kind) % kinds.len()], &mut gray_duration);
            let gray = health.gray_probability(now, gray_duration);
            (0.0..=1.0).contains(&gray)
                && health.failure_probability(now, gray_duration).is_finite()
        })
    }
    fuzz::check(200, 300, holds as fn(Vec<(u8, u16)>) -> bool);
}
