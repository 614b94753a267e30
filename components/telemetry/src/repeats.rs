use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(10);
/// Records of one event in a window. A failure domain lost at once shows its first dozens of VMs,
/// and a caller that repeats a mistake writes at most 5 lines a second.
const MAX_RECORDS: u32 = 50;
/// Records in a window of an event that tells of one request: a failed request must be found by its
/// id. A VM that serves a failure domain fails some ten requests a second on a bad day.
const MAX_REQUEST_RECORDS: u32 = 1000;
/// Events that tell of one request.
const REQUEST_EVENTS: std::ops::RangeInclusive<u16> = 931..=949;

/// Whether to log an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
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
pub struct Repeats {
    /// One window for each event number, so that its size is bounded by the catalogue.
    windows: BTreeMap<u16, Window>,
}

impl Repeats {
    /// Decides on one occurrence of an event, `now` after the start of the process.
    pub fn admit(&mut self, now: Duration, number: u16) -> Repeat {
        let window = self.windows.entry(number).or_default();
        if now.saturating_sub(window.start) >= WINDOW {
            window.start = now;
            window.logged = 0;
        }
        let most = if REQUEST_EVENTS.contains(&number) { MAX_REQUEST_RECORDS } else { MAX_RECORDS };
        if window.logged >= most {
            window.dropped += 1;
            return Repeat::Drop;
        }
        window.logged += 1;
        Repeat::Log { dropped: std::mem::take(&mut window.dropped) }
    }
}
