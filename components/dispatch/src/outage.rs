use std::time::Duration;

use kernel::Uptime;

/// Measures how long a dependency has not responded.
///
/// An outage starts with the first call that failed: while no call is made, nothing is known about
/// the dependency.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    since: Option<Uptime>,
}

impl Outage {
    /// Records a failed call by the time at which it started. Returns whether it is the first
    /// failure since the last response.
    pub fn record_failure(&mut self, started: Uptime) -> bool {
        let first = self.since.is_none();
        self.since.get_or_insert(started);
        first
    }

    /// Records a response. Returns the duration of the outage that ends with it.
    pub fn record_success(&mut self, now: Uptime) -> Option<Duration> {
        self.since.take().map(|since| now.saturating_sub(since))
    }
}
