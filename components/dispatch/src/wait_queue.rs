use std::collections::BTreeMap;
use std::time::Duration;

use kernel::Uptime;

/// Number of a waiting request, unique on one VM.
pub type WaiterId = u64;

/// Shortest Retry-After of a rejected request.
const RETURN_LEAST: Duration = Duration::from_millis(100);
/// Longest Retry-After of a rejected request.
const RETURN_MOST: Duration = Duration::from_secs(3);
/// Least samples in the estimate of the drain rate.
const DRAIN_WINDOW: Duration = Duration::from_secs(2);

/// A request that waits for room at a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiter {
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Latest useful start.
    pub start_deadline: Uptime,
    /// When it came.
    pub queued_at: Uptime,
}

/// Why a request is not let in. It was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejected {
    /// Retry-After.
    pub retry_after: Duration,
}

/// Requests of one service that wait for room, the most urgent first and, within a rank, the one
/// whose latest useful start comes first.
///
/// Answers a burst and the return after a holiday: what cannot start in time is rejected when it
/// comes, with a time to return that spreads the callers over the time that the line takes to
/// drain; a request of a more urgent rank passes the line and pushes out its last.
#[derive(Debug, Default)]
pub struct WaitQueue {
    line: BTreeMap<(u32, Uptime, WaiterId), Waiter>,
    /// Starts in the last windows, to estimate how fast the line drains.
    starts: (Uptime, u32, f64),
}

impl WaitQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.line.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// Counts the start of a request.
    pub fn record_start(&mut self, now: Uptime) {
        let (since, count, rate) = &mut self.starts;
        let age = now.saturating_sub(*since);
        if age >= DRAIN_WINDOW {
            *rate = f64::from(*count) / age.as_secs_f64();
            *since = now;
            *count = 0;
        }
        *count += 1;
    }

    /// Starts a second, estimated from the last windows.
    fn drain_rate(&self, now: Uptime, slots: u32, usual: f64) -> f64 {
        let (since, count, rate) = self.starts;
        let age = now.saturating_sub(since).as_secs_f64();
        let recent = if age > 0.5 { f64::from(count) / age } else { rate };
        // A service that was idle drains as fast as its slots allow.
        recent.max(rate).max(f64::from(slots) / usual.max(0.01) * 0.5)
    }

    /// Lets a request wait if it can start in time behind those before it.
    pub fn enqueue(
        &mut self,
        now: Uptime,
        id: WaiterId,
        waiter: Waiter,
        slots: u32,
        usual: f64,
    ) -> Result<(), Rejected> {
        let ahead = self.line.range(..(waiter.priority, waiter.start_deadline, id)).count();
        let rate = self.drain_rate(now, slots, usual);
        let wait = Duration::from_secs_f64((ahead as f64 + 1.0) / rate.max(0.1));
        if now + wait > waiter.start_deadline {
            return Err(Rejected { retry_after: self.retry_after(rate) });
        }
        self.line.insert((waiter.priority, waiter.start_deadline, id), waiter);
        Ok(())
    }

    /// Time to return that spreads rejected callers over the time that the line takes to drain.
    fn retry_after(&self, rate: f64) -> Duration {
        let drain = Duration::from_secs_f64((self.line.len() as f64 + 1.0) / rate.max(0.1));
        drain.clamp(RETURN_LEAST, RETURN_MOST)
    }

    /// The request that starts next.
    pub fn first(&self) -> Option<WaiterId> {
        self.line.first_key_value().map(|(key, _)| key.2)
    }

    /// Requests in the order in which they start.
    pub fn ids(&self) -> Vec<WaiterId> {
        self.line.keys().map(|key| key.2).collect()
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: WaiterId, waiter: &Waiter) -> bool {
        self.line.remove(&(waiter.priority, waiter.start_deadline, id)).is_some()
    }
}
