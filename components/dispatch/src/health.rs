use std::time::Duration;

use kernel::Uptime;

/// Part of the backend servers that fail most of their requests at an ordinary moment.
const USUAL_GRAY: f64 = 0.2;
/// Time in which the belief about an unobserved backend server returns to the usual one by all
/// but a third: about the length of a gray spell.
const MEMORY: Duration = Duration::from_millis(3000);
/// Part of the requests that a sound backend server fails.
const SOUND_FAILS: f64 = 0.015;
/// Part of the requests that a gray backend server fails.
const GRAY_FAILS: f64 = 0.85;
/// Weight of a new sample in the slowness of a backend server.
const SLOWNESS_GAIN: f64 = 0.2;
/// Largest ratio of one answer's time to the usual time that counts.
const SLOWNESS_CAP: f64 = 8.0;
/// Time in which the slowness of an unused backend server is forgotten by half.
const SLOWNESS_HALF: Duration = Duration::from_secs(4);

/// What one request tells of a backend server.
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
    /// The backend server refused the request unrun.
    Shed,
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
            // A full backend server sheds without being gray.
            Evidence::Shed => (0.2, 0.5),
        }
    }
}

/// Belief that a backend server is gray: a filter over a Markov chain with the two states sound
/// and gray (Rabiner 1989, section III), observed through the requests that it answers.
///
/// Answers gray spells of a few seconds on a fifth or more of the backend servers: one failure is
/// enough to avoid a backend server, one success enough to prefer it, and without requests the
/// belief returns to the usual one.
#[derive(Clone, Debug)]
pub struct Health {
    /// Probability of being gray at `at`. In [0, 1].
    gray: f64,
    at: Uptime,
    /// Ratio of its answers' times to the usual times. Above 0.
    slowness: f64,
    slowed: Uptime,
}

impl Health {
    /// Belief about a backend server that was never used.
    pub fn new(now: Uptime) -> Self {
        Health { gray: USUAL_GRAY, at: now, slowness: 1.0, slowed: now }
    }

    /// Probability of being gray now.
    pub fn gray(&self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        USUAL_GRAY + (self.gray - USUAL_GRAY) * (-age / MEMORY.as_secs_f64()).exp()
    }

    /// Probability that a request fails now.
    pub fn failure(&self, now: Uptime) -> f64 {
        let gray = self.gray(now);
        gray * GRAY_FAILS + (1.0 - gray) * SOUND_FAILS
    }

    /// Takes one piece of evidence.
    pub fn observe(&mut self, now: Uptime, evidence: Evidence) {
        let prior = self.gray(now);
        let (sound, gray) = evidence.likelihoods();
        let joint = prior * gray;
        self.gray = joint / (joint + (1.0 - prior) * sound);
        self.at = now;
    }

    /// Takes the ratio of one answer's time to the usual time of such requests.
    pub fn observe_time(&mut self, now: Uptime, ratio: f64) {
        let current = self.slowness(now);
        self.slowness = current + SLOWNESS_GAIN * (ratio.clamp(0.1, SLOWNESS_CAP) - current);
        self.slowed = now;
    }

    /// Ratio of its answers' times to the usual times.
    pub fn slowness(&self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.slowed).as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age / SLOWNESS_HALF.as_secs_f64())
    }
}
