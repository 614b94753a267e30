use std::time::Duration;

use kernel::Uptime;

/// Part of the backend servers that are gray at an ordinary moment.
const USUAL_GRAY: f64 = 0.35;
/// Part of the requests that a sound backend server fails.
const SOUND_FAILS: f64 = 0.015;
/// Part of the requests that a gray backend server fails.
const GRAY_FAILS: f64 = 0.85;
/// Belief from which a backend server counts as in a gray spell.
const IN_SPELL: f64 = 0.5;
/// Least and most certain belief: a few successes must end a spell, however many failures it had.
const CERTAINTY: (f64, f64) = (0.004, 0.97);
/// Weight of a new sample in the slowness of a backend server.
const SLOWNESS_GAIN: f64 = 0.2;
/// Largest ratio of one answer's time to the usual time that counts.
const SLOWNESS_CAP: f64 = 8.0;
/// Time in which the slowness of an unused backend server is forgotten by half.
const SLOWNESS_HALF: Duration = Duration::from_secs(4);
/// Length of a gray spell before any was seen: several seconds.
const SPELL_FIRST: f64 = 8.0;
/// Shortest and longest length of a gray spell that is believed, in seconds.
const SPELL_RANGE: (f64, f64) = (2.0, 20.0);
/// Part of the usual length by which a spell that has not ended is prolonged.
const EXTENSION: f64 = 0.5;
/// Weight of a new spell in the usual length.
const SPELL_GAIN: f64 = 0.1;

/// Observation of a backend server by one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// A whole answer that is no failure.
    Success,
    /// A failure that the backend server answered itself.
    Failure,
    /// The connection broke or the answer was unreadable after the request was sent.
    Broken,
    /// The request has been unanswered for several times its usual time.
    Overdue,
}

impl Evidence {
    /// Probability of the evidence for a sound and for a gray backend server.
    fn likelihoods(self) -> (f64, f64) {
        match self {
            Evidence::Success => (1.0 - SOUND_FAILS, 1.0 - GRAY_FAILS),
            Evidence::Failure => (SOUND_FAILS, GRAY_FAILS),
            // Lost answers and cut ways break requests at sound backend servers too.
            Evidence::Broken => (0.03, 0.5),
            Evidence::Overdue => (0.04, 0.4),
        }
    }
}

/// Usual length of gray spells, learned from those that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrayDuration(f64);

impl Default for GrayDuration {
    fn default() -> Self {
        GrayDuration(SPELL_FIRST)
    }
}

impl GrayDuration {
    /// The usual length.
    pub fn get(self) -> Duration {
        Duration::from_secs_f64(self.0)
    }

    /// Takes the length of a spell that ended.
    pub fn record(&mut self, length: Duration) {
        let (least, most) = SPELL_RANGE;
        self.0 += SPELL_GAIN * (length.as_secs_f64().clamp(least, most) - self.0);
    }
}

/// A gray spell that has not ended.
#[derive(Clone, Copy, Debug)]
struct Spell {
    start: Uptime,
    /// When it is likely over. Not before `start`.
    until: Uptime,
}

/// Belief that a backend server is gray: a filter over a chain with the two states sound and gray
/// (Rabiner 1989, section III), observed through the requests that it answers. Gray spells have a
/// usual length, so that the belief holds for that time and returns to the usual one after it
/// (an explicit duration, section IV.D there).
///
/// Answers gray spells of several seconds on a third of the backend servers: one failure is enough
/// to avoid a backend server until its spell is likely over, one success enough to prefer it.
#[derive(Clone, Debug)]
pub struct Health {
    /// Probability of being gray at `at`. In [0, 1].
    gray: f64,
    at: Uptime,
    /// Gray spell that it is believed to be in.
    spell: Option<Spell>,
    /// Ratio of its answers' times to the usual times. Above 0.
    slowness: f64,
    slowed: Uptime,
}

impl Health {
    /// Belief about a backend server that was never used.
    pub fn new(now: Uptime) -> Self {
        Health { gray: USUAL_GRAY, at: now, spell: None, slowness: 1.0, slowed: now }
    }

    /// Probability of being gray now.
    pub fn gray_probability(&self, now: Uptime, length: GrayDuration) -> f64 {
        let usual = length.get().as_secs_f64();
        if let Some(spell) = self.spell {
            return if now > spell.until { USUAL_GRAY } else { self.gray };
        }
        // A spell can have started since; after a whole length nothing is known.
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.gray + (USUAL_GRAY - self.gray) * (age / usual).min(1.0)
    }

    /// Probability that a request fails now.
    pub fn failure_probability(&self, now: Uptime, length: GrayDuration) -> f64 {
        let gray = self.gray_probability(now, length);
        gray * GRAY_FAILS + (1.0 - gray) * SOUND_FAILS
    }

    /// Takes one piece of evidence; learns the length of a spell that it ends.
    pub fn observe(&mut self, now: Uptime, evidence: Evidence, length: &mut GrayDuration) {
        let prior = self.gray_probability(now, *length);
        let (sound, gray) = evidence.likelihoods();
        let joint = prior * gray;
        let (least, most) = CERTAINTY;
        self.gray = (joint / (joint + (1.0 - prior) * sound)).clamp(least, most);
        self.spell = match self.spell {
            Some(spell) if self.gray < IN_SPELL => {
                length.record(now.saturating_sub(spell.start));
                None
            }
            None if self.gray < IN_SPELL => None,
            // Most spells start right before the first failure.
            None => Some(Spell { start: now, until: now + length.get() }),
            // It lasts longer than usual; some follow each other.
            Some(spell) if now > spell.until => {
                Some(Spell { start: spell.start, until: now + length.get().mul_f64(EXTENSION) })
            }
            Some(spell) => Some(spell),
        };
        self.at = now;
    }

    /// Takes the ratio of one answer's time to the usual time of such requests.
    pub fn observe_latency(&mut self, now: Uptime, ratio: f64) {
        let current = self.latency_ratio(now);
        self.slowness = current + SLOWNESS_GAIN * (ratio.clamp(0.1, SLOWNESS_CAP) - current);
        self.slowed = now;
    }

    /// Ratio of its answers' times to the usual times.
    pub fn latency_ratio(&self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.slowed).as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age / SLOWNESS_HALF.as_secs_f64())
    }
}
