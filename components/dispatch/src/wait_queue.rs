use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{Incarnation, Uptime};

use crate::{QueueCapacity, RemoteWaiter};

/// Id of a waiting request, unique on one VM.
pub type WaiterId = u64;

/// Lower bound of the Retry-After of a rejected request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of the Retry-After of a rejected request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// The same while request limits bound the starts: they hold for longer than a burst.
const MAX_LIMITED_RETRY_AFTER: Duration = Duration::from_secs(30);
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

/// Next in the order in which requests start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextWaiter {
    /// A request in the queue of this VM.
    Own(WaiterId),
    /// A request that waits on another VM.
    Remote(Incarnation),
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
    fn start_rate(&self, now: Uptime, capacity: &QueueCapacity) -> f64 {
        let (since, count, rate) = self.starts;
        let age = now.saturating_sub(since).as_secs_f64();
        let recent = if age > 0.5 { f64::from(count) / age } else { rate };
        // A service that was idle has no recent starts; half of what its slots allow is assumed.
        let idle_rate = capacity.slot_rate() * 0.5;
        let estimate = recent.max(rate).max(idle_rate + capacity.limited_rate.unwrap_or(0.0));
        // The starts of the last seconds may be those before a limit.
        capacity.max_rate().map_or(estimate, |most| estimate.min(most))
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
        let rate = self.start_rate(now, &capacity);
        let wait = pause + Duration::from_secs_f64((ahead as f64 + 1.0) / rate.max(0.1));
        if now + wait > waiter.start_deadline {
            let most = match capacity.limited_rate {
                Some(_) => MAX_LIMITED_RETRY_AFTER,
                None => MAX_RETRY_AFTER,
            };
            let retry_after = self.retry_after(rate, most);
            if pause.is_zero() {
                return Err(NotQueued { retry_after });
            }
            return Err(NotQueued { retry_after: pause + PAUSE_SPREAD.mul_f64(spread) });
        }
        self.push(id, waiter);
        Ok(())
    }

    /// Queues a request without regard to the capacity.
    pub fn push(&mut self, id: WaiterId, waiter: Waiter) {
        self.queue.insert((waiter.priority, waiter.start_deadline, id), waiter);
    }

    /// Retry-After that spreads rejected callers over the time in which the queue empties.
    fn retry_after(&self, rate: f64, most: Duration) -> Duration {
        let time_to_empty =
            Duration::from_secs_f64((self.queue.len() as f64 + 1.0) / rate.max(0.1));
        time_to_empty.clamp(MIN_RETRY_AFTER, most)
    }

    /// The request that starts next.
    pub fn first(&self) -> Option<WaiterId> {
        self.queue.first_key_value().map(|(key, _)| key.2)
    }

    /// Waiting requests of this VM and of others in the order in which they start.
    pub fn order(&self, remote: impl Iterator<Item = RemoteWaiter>) -> Vec<NextWaiter> {
        let own = self.queue.keys().map(|key| ((key.0, key.1), NextWaiter::Own(key.2)));
        let remote = remote.map(|waiter| {
            ((waiter.priority, waiter.start_deadline), NextWaiter::Remote(waiter.vm))
        });
        let mut order: Vec<_> = own.chain(remote).collect();
        order.sort_by_key(|(key, _)| *key);
        order.into_iter().map(|(_, next)| next).collect()
    }

    /// Waiting requests in the order in which they start.
    pub fn ids(&self) -> impl Iterator<Item = WaiterId> + '_ {
        self.queue.keys().map(|key| key.2)
    }

    /// Priority and latest start of the waiting requests, in the order in which they start.
    pub fn waiters(&self) -> impl Iterator<Item = (u32, Uptime)> + '_ {
        self.queue.keys().map(|key| (key.0, key.1))
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, id: WaiterId, waiter: &Waiter) -> bool {
        self.queue.remove(&(waiter.priority, waiter.start_deadline, id)).is_some()
    }
}
