use std::time::Duration;

use kernel::Uptime;

/// Time during which a dependency gave no answer, as far as calls show.
///
/// Counts from the start of the first call that failed: before it nothing was asked, which tells
/// nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    since: Option<Uptime>,
}

impl Outage {
    /// Notes a call that failed. Returns whether it is the first since the last answer.
    pub fn record_failure(&mut self, started: Uptime) -> bool {
        let first = self.since.is_none();
        self.since.get_or_insert(started);
        first
    }

    /// Notes an answer; returns the length of the outage that it ends.
    pub fn record_success(&mut self, now: Uptime) -> Option<Duration> {
        self.since.take().map(|since| now.saturating_sub(since))
    }
}
