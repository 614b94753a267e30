use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(10);
/// Records of one event in a window. A failure domain lost at once shows its first dozens of VMs,
/// and a caller that repeats a mistake writes at most 5 lines a second.
const MAX_RECORDS_PER_EVENT: u32 = 50;
/// Records in a window of an event that tells of one request: a failed request must be found by its
/// id. A VM that serves a failure domain fails some ten requests a second on a bad day.
const MAX_RECORDS_PER_REQUEST_EVENT: u32 = 1000;
/// Events that tell of one request.
const PER_REQUEST_EVENTS: std::ops::RangeInclusive<u16> = 931..=949;

/// Whether to log an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateDecision {
    /// Log it.
    Log {
        /// Records of this event that were dropped since the last one logged.
        dropped: u64,
    },
    /// Drop it; it was counted.
    Drop,
}

#[derive(Clone, Copy, Default)]
struct Window {
    start: Duration,
    logged: u32,
    dropped: u64,
}

/// Limits how often each event is logged. Takes the time from its caller.
#[derive(Default)]
pub struct EventRateLimiter {
    /// One window for each event number, so that its size is bounded by the catalogue.
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
