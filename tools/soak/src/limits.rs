use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::gateway_backend::GatewayBackend;

/// Limits that backend servers name, as header values and as requests per second.
const LIMITS: [(&[&str], f64); 6] = [
    (&["0"], 0.0),
    (&["0.5"], 0.5),
    (&["1"], 1.0),
    (&["4"], 4.0),
    (&["12"], 12.0),
    (&["NaN", "2"], 2.0),
];
/// Time from the first response that names a limit from which it must hold.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time between two changes of a limit.
const STEP_TIME: Duration = Duration::from_secs(6);

/// A limit that a backend server names from a time on; `None` if it names none.
type Step = (Instant, Option<(&'static [&'static str], f64)>);

/// Request limits that backend servers name in a run, drawn from the seed apart from the faults, so that
/// the faults of a seed stay what they were.
pub struct LimitPlan {
    /// Steps of each backend server by time, and how many have been taken.
    steps: Vec<(Vec<Step>, usize)>,
}

impl LimitPlan {
    /// Draws the limits of a run; half of the backend servers have one.
    pub fn draw(seed: u64, backends: u8, start: Instant, end: Instant) -> LimitPlan {
        let mut random = SmallRng::seed_from_u64(seed ^ 0x11_3175);
        let draw_steps = |_| {
            let mut steps = Vec::new();
            let mut at = start + Duration::from_millis(random.random_range(200..1500));
            while random.random_bool(0.6) && at < end {
                let ends = steps.len() > 1 && random.random_bool(0.4);
                let limit = LIMITS[random.random_range(0..LIMITS.len())];
                steps.push((at, (!ends).then_some(limit)));
                at += STEP_TIME + Duration::from_millis(random.random_range(0..3000));
            }
            (steps, 0)
        };
        LimitPlan { steps: (0..backends).map(draw_steps).collect() }
    }

    /// Lets the backend servers name the limits that are due.
    pub fn advance(&mut self, backends: &[GatewayBackend]) {
        let now = Instant::now();
        for ((steps, taken), backend) in self.steps.iter_mut().zip(backends) {
            while let Some((_, limit)) = steps.get(*taken).filter(|(at, _)| *at <= now) {
                backend.set_limits(limit.map_or(&[], |(values, _)| values));
                *taken += 1;
            }
        }
    }

    /// Requests that a backend server may get between two times; `None` if it had no limit in all of
    /// that time.
    fn allowed(steps: &[Step], from: Instant, to: Instant) -> Option<f64> {
        let mut allowed = 5.0;
        let mut at = from;
        while at < to {
            let current = steps.iter().rposition(|(since, _)| *since <= at)?;
            let (_, limit) = steps[current].1?;
            let until = steps.get(current + 1).map_or(to, |(next, _)| to.min(*next));
            allowed += 1.5 * limit * (until - at).as_secs_f64();
            at = until;
        }
        Some(allowed)
    }

    /// Checks what the backend servers got, until `end`. `lost` are the times at which all VMs had
    /// forgotten the limits, and `is_disturbed` says whether responses of a backend server were lost.
    pub fn check(
        &self,
        backends: &[GatewayBackend],
        end: Instant,
        lost: &[Instant],
        is_disturbed: impl Fn(usize) -> bool,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        for (number, ((steps, _), backend)) in self.steps.iter().zip(backends).enumerate() {
            if is_disturbed(number) {
                continue;
            }
            let arrivals = backend.observed().arrivals;
            let Some(first) = steps.first() else { continue };
            let Some(named_at) = arrivals.iter().find(|at| **at >= first.0) else { continue };
            let holds_from = *named_at + CONTACT_TIME;
            for (last, to) in arrivals.iter().enumerate() {
                let from = *to - WINDOW;
                let is_excused = lost.iter().any(|at| *at + CONTACT_TIME >= from && *at <= *to);
                if *to < holds_from || *to > end || is_excused {
                    continue;
                }
                let before = arrivals.partition_point(|at| *at <= from);
                let Some(allowed) = LimitPlan::allowed(steps, from, *to) else { continue };
                let count = last + 1 - before;
                if count as f64 > allowed {
                    violations.push(format!(
                        "i-{number}: {count} requests in 4 s, {allowed:.1} allowed by its limits, {:?} \
                         after it first named one",
                        *to - *named_at
                    ));
                    break;
                }
            }
        }
        violations
    }
}
