use std::time::Duration;

use kernel::Uptime;

/// Duration of the ramp to the full number of slots after a cold start or an ejection.
const RAMP_DURATION: Duration = Duration::from_secs(10);
/// Fraction of the slots at the start of a ramp.
const RAMP_START_FRACTION: f64 = 0.1;

/// State of a backend server, which decides what requests it receives.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    /// Receives requests; the evidence decides whether it is suspect.
    Active,
    /// Receives requests on a growing fraction of its slots.
    Ramp {
        /// Start of the ramp.
        since: Uptime,
        /// True while it still holds a unit of the ejection budget.
        holds_unit: bool,
    },
    /// Receives no requests.
    Ejected {
        /// End of the wait before the next probe.
        until: Uptime,
        /// When the outstanding probe was sent.
        probe_sent: Option<Uptime>,
    },
    /// Receives one trial request at a time.
    HalfOpen {
        /// Number of successful trials.
        trials_passed: u32,
    },
    /// Cannot be reached from this VM, but other VMs reach it.
    Unreachable {
        /// End of the wait before the next probe.
        until: Uptime,
        /// When the outstanding probe was sent.
        probe_sent: Option<Uptime>,
    },
    /// Is shutting down.
    Draining {
        /// When it was last reported as draining.
        last_notice: Uptime,
    },
}

impl State {
    /// Whether it receives ordinary requests.
    pub fn accepts_requests(&self) -> bool {
        matches!(self, State::Active | State::Ramp { .. })
    }

    /// Whether it holds a unit of the ejection budget.
    pub fn holds_unit(&self) -> bool {
        matches!(
            self,
            State::Ejected { .. } | State::HalfOpen { .. } | State::Ramp { holds_unit: true, .. }
        )
    }

    /// Whether it is out of service without holding a unit, so that fewer ejections are allowed.
    pub fn reduces_budget(&self) -> bool {
        matches!(self, State::Unreachable { .. } | State::Draining { .. })
    }
}

/// Fraction of the slots during a ramp, in (0, 1], or none once the ramp is over.
pub(crate) fn ramp_fraction(now: Uptime, since: Uptime) -> Option<f64> {
    let progress = now.saturating_sub(since).as_secs_f64() / RAMP_DURATION.as_secs_f64();
    (progress < 1.0).then_some(RAMP_START_FRACTION + (1.0 - RAMP_START_FRACTION) * progress)
}
