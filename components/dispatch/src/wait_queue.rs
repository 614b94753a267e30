use std::collections::BTreeMap;
use std::time::Duration;

use kernel::Uptime;

/// Id of a waiting request, unique on one VM.
pub type WaiterId = u64;

/// Lower bound of the Retry-After of a rejected request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of the Retry-After of a rejected request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Time after the end of a pause over which the rejected callers return.
const PAUSE_SPREAD: Duration = Duration::from_secs(1);
/// Lower bound of the window over which the rate of starts is measured.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(2);

/// A request that waits for a free slot of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiter {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Latest time at which it is still worth starting.
    pub start_deadline: Uptime,
    /// When it was queued.
    pub queued_at: Uptime,
}

/// Capacity that the requests of a queue wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueCapacity {
    /// Slots of the backend servers.
    pub slots: u32,
    /// Expected service time of a request, in seconds.
    pub expected_s: f64,
    /// When the first slot can become free: now, or the end of a pause that all have asked for.
    pub available_at: Uptime,
}

/// A request that was not queued. It was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotQueued {
    /// Value of Retry-After.
    pub retry_after: Duration,
}

/// Requests of one service that wait for a free slot: the most urgent priority first, and within a
/// priority the earliest start deadline first.
///
/// Handles a burst and the return of the callers after a holiday: a request that cannot start in
/// time is rejected on arrival, with a Retry-After that spreads the callers over the time in which
/// the queue empties. A more urgent request overtakes the others, of which the last may then miss
/// their deadline.
#[derive(Debug, Default)]
pub struct WaitQueue {
    queue: BTreeMap<(u32, Uptime, WaiterId), Waiter>,
    /// Start of the current window, starts in it, and starts per second in the window before.
    starts: (Uptime, u32, f64),
}

impl WaitQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Counts a request that starts.
    pub fn record_start(&mut self, now: Uptime) {
        let (since, count, rate) = &mut self.starts;
        let age = now.saturating_sub(*since);
        if age >= MIN_RATE_WINDOW {
            *rate = f64::from(*count) / age.as_secs_f64();
            *since = now;
            *count = 0;
        }
        *count += 1;
    }

    /// Estimated starts per second.
    fn start_rate(&self, now: Uptime, slots: u32, expected_s: f64) -> f64 {
        let (since, count, rate) = self.starts;
        let age = now.saturating_sub(since).as_secs_f64();
        let recent = if age > 0.5 { f64::from(count) / age } else { rate };
        // A service that was idle has no recent starts; half of what its slots allow is assumed.
        recent.max(rate).max(f64::from(slots) / expected_s.max(0.01) * 0.5)
    }

    /// Queues a request if it is expected to start before its deadline, after all requests ahead of
    /// it. `spread`, in [0, 1), tells apart the callers that are rejected while nothing waits.
    pub fn enqueue(
        &mut self,
        now: Uptime,
        id: WaiterId,
        waiter: Waiter,
        capacity: QueueCapacity,
        spread: f64,
    ) -> Result<(), NotQueued> {
        let ahead = self.queue.range(..(waiter.priority, waiter.start_deadline, id)).count();
        let pause = capacity.available_at.saturating_sub(now);
        let rate = self.start_rate(now, capacity.slots, capacity.expected_s);
        let wait = pause + Duration::from_secs_f64((ahead as f64 + 1.0) / rate.max(0.1));
        if now + wait > waiter.start_deadline {
            let retry_after = self.retry_after(rate);
            if pause.is_zero() {
                return Err(NotQueued { retry_after });
            }
            return Err(NotQueued { retry_after: pause + PAUSE_SPREAD.mul_f64(spread) });
        }
        self.queue.insert((waiter.priority, waiter.start_deadline, id), waiter);
        Ok(())
    }

    /// Retry-After that spreads rejected callers over the time in which the queue empties.
    fn retry_after(&self, rate: f64) -> Duration {
        let time_to_empty =
            Duration::from_secs_f64((self.queue.len() as f64 + 1.0) / rate.max(0.1));
        time_to_empty.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// The request that starts next.
    pub fn first(&self) -> Option<WaiterId> {
        self.queue.first_key_value().map(|(key, _)| key.2)
    }

    /// Waiting requests in the order in which they start.
    pub fn ids(&self) -> Vec<WaiterId> {
        self.queue.keys().map(|key| key.2).collect()
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, id: WaiterId, waiter: &Waiter) -> bool {
        self.queue.remove(&(waiter.priority, waiter.start_deadline, id)).is_some()
    }
}
