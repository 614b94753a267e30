use std::time::Duration;

use kernel::Uptime;

/// Time from the first to the full share of the slots after a cold start or an ejection.
const RAMP: Duration = Duration::from_secs(10);
/// Share of the slots at the start of a ramp.
const RAMP_START: f64 = 0.1;

/// What a backend server is allowed to do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    /// Takes work; the evidence decides whether it is suspect.
    Taking,
    /// Takes a growing share of its slots.
    Ramp {
        /// Start of the ramp.
        since: Uptime,
        /// True if it still holds a unit of the ejection budget.
        held: bool,
    },
    /// Takes no work.
    Ejected {
        /// When the wait ends.
        until: Uptime,
        /// When the unanswered probe was sent.
        probe: Option<Uptime>,
    },
    /// Takes one trial at a time.
    HalfOpen {
        /// Trials that have succeeded.
        passed: u32,
    },
    /// Cannot be reached from here.
    Unreachable {
        /// When the wait ends.
        until: Uptime,
        /// When the unanswered probe was sent.
        probe: Option<Uptime>,
    },
    /// Is leaving.
    Draining {
        /// Last sign of it.
        sign: Uptime,
    },
}

impl State {
    /// Whether it takes ordinary work.
    pub fn takes_work(&self) -> bool {
        matches!(self, State::Taking | State::Ramp { .. })
    }

    /// Whether it uses a unit of the ejection budget.
    pub fn holds_unit(&self) -> bool {
        matches!(
            self,
            State::Ejected { .. } | State::HalfOpen { .. } | State::Ramp { held: true, .. }
        )
    }

    /// Whether it takes no work for a reason that needs no unit but leaves fewer of them.
    pub fn uses_budget(&self) -> bool {
        matches!(self, State::Unreachable { .. } | State::Draining { .. })
    }
}

/// Share of the slots during a ramp, in (0, 1]; none when the ramp is over.
pub(crate) fn ramp_share(now: Uptime, since: Uptime) -> Option<f64> {
    let part = now.saturating_sub(since).as_secs_f64() / RAMP.as_secs_f64();
    (part < 1.0).then_some(RAMP_START + (1.0 - RAMP_START) * part)
}
