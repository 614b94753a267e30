use std::time::{Duration, Instant};

use harness::GATEWAY_KEY;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::gateway_store::{StoreCopy, StoreMode};

use crate::faults::SoakFleet;

/// Kept apart from the seed of the other faults, whose order stays as it is.
const SEED_MASK: u64 = 0x5b1e_c0de_0000_0048;
/// Part of the runs in which the store comes back from the same copy twice in a row.
const SECOND_PROBABILITY: f64 = 0.4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The copy is made.
    Copy,
    /// The store goes away.
    Away,
    /// It comes back from the copy.
    Restore,
    /// The operator and the backend servers write again.
    Rewrite,
}

/// Restores of the store from older copies, over a run.
#[derive(Debug, Default)]
pub struct RestorePlan {
    /// Steps that are left, in order.
    steps: Vec<(Instant, Step)>,
    copy: Option<StoreCopy>,
    /// Number of restores so far.
    pub count: u32,
}

impl RestorePlan {
    /// Draws the restores of a run.
    pub fn draw(seed: u64, start: Instant, end: Instant) -> RestorePlan {
        let mut random = SmallRng::seed_from_u64(seed ^ SEED_MASK);
        let mut steps = Vec::new();
        let mut after = |from: Instant, most_ms: u64| {
            from + Duration::from_millis(random.random_range(50..most_ms))
        };
        let copied = after(start, (end - start).as_millis() as u64 / 2 + 100);
        let away = after(copied, 4000);
        let restored = after(away, 900);
        let rewritten = after(restored, 1500);
        steps.extend([(copied, Step::Copy), (away, Step::Away), (restored, Step::Restore)]);
        if random.random_bool(SECOND_PROBABILITY) {
            // From the same copy, before all is written again.
            let away = restored + (rewritten - restored) / 2;
            let again = away + Duration::from_millis(random.random_range(50..500));
            steps.extend([(away, Step::Away), (again, Step::Restore)]);
            steps.push((again + (rewritten - restored), Step::Rewrite));
        } else {
            steps.push((rewritten, Step::Rewrite));
        }
        RestorePlan { steps, copy: None, count: 0 }
    }

    /// Does the steps that are due by `now`.
    pub fn advance(&mut self, now: Instant, soak_fleet: &mut SoakFleet) {
        while let Some((at, step)) = self.steps.first().copied()
            && at <= now
        {
            self.steps.remove(0);
            self.play(step, soak_fleet);
        }
    }

    /// Does the steps that are left.
    pub fn finish(&mut self, soak_fleet: &mut SoakFleet) {
        for (_, step) in std::mem::take(&mut self.steps) {
            self.play(step, soak_fleet);
        }
    }

    fn play(&mut self, step: Step, soak_fleet: &mut SoakFleet) {
        let fleet = &mut soak_fleet.fleet;
        match step {
            Step::Copy => self.copy = Some(fleet.store.copy()),
            Step::Away => fleet.store.set_mode(StoreMode::Unavailable),
            Step::Restore => {
                if let Some(copy) = &self.copy {
                    fleet.store.restore(copy);
                    self.count += 1;
                }
                fleet.store.set_mode(StoreMode::Normal);
            }
            Step::Rewrite => {
                fleet.write_config(&[GATEWAY_KEY]);
                soak_fleet.register_backends();
            }
        }
    }
}
