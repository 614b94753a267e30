use std::collections::BTreeMap;
use std::time::Duration;

/// Length of the window in which records are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of records of one event in a window. When a failure domain fails at once, the log
/// still names its first dozens of VMs; a caller that repeats an error causes at most 5 lines per
/// second.
const MAX_RECORDS_PER_EVENT: u32 = 50;
/// The same limit for events about a single request, so that a failed request can be found by its
/// id. A VM that serves a failure domain fails about ten requests per second on a bad day.
const MAX_RECORDS_PER_REQUEST_EVENT: u32 = 1000;
/// Events about a single request.
const PER_REQUEST_EVENTS: std::ops::RangeInclusive<u16> = 931..=949;

/// Decision on one occurrence of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateDecision {
    /// Log it.
    Log {
        /// Number of records of this event dropped since the last one logged.
        dropped: u64,
    },
    /// Drop it; it has been counted.
    Drop,
}

#[derive(Clone, Copy, Default)]
struct Window {
    start: Duration,
    logged: u32,
    dropped: u64,
}

/// Limits how often each event is logged. The caller passes the time.
#[derive(Default)]
pub struct EventRateLimiter {
    /// Window by event number; the catalogue bounds their number.
    windows: BTreeMap<u16, Window>,
}

impl EventRateLimiter {
    /// Decides on one occurrence of an event, `now` after the start of the process.
    pub fn admit(&mut self, now: Duration, number: u16) -> RateDecision {
        let window = self.windows.entry(number).or_default();
        if now.saturating_sub(window.start) >= WINDOW {
            window.start = now;
            window.logged = 0;
        }
        let limit = if PER_REQUEST_EVENTS.contains(&number) {
            MAX_RECORDS_PER_REQUEST_EVENT
        } else {
            MAX_RECORDS_PER_EVENT
        };
        if window.logged >= limit {
            window.dropped += 1;
            return RateDecision::Drop;
        }
        window.logged += 1;
        RateDecision::Log { dropped: std::mem::take(&mut window.dropped) }
    }
}
