use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use super::options::LoadReport;
use crate::acceptor::lock;

/// Age up to which earlier load reports can be looked up.
const HISTORY_RETENTION: Duration = Duration::from_secs(120);

/// Slots and the queue for them, with a history of the load.
pub(crate) struct Slots {
    free: Arc<Semaphore>,
    max_queued: usize,
    state: Mutex<State>,
}

struct State {
    load: LoadReport,
    history: VecDeque<(Instant, LoadReport)>,
}

impl State {
    fn change(&mut self, change: impl FnOnce(&mut LoadReport)) {
        let now = Instant::now();
        change(&mut self.load);
        self.history.push_back((now, self.load));
        // The newest entry older than the retention is kept, since it was the load at that age.
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) > HISTORY_RETENTION)
        {
            self.history.pop_front();
        }
    }
}

/// A slot in use. Dropping it releases the slot.
pub(crate) struct Slot {
    slots: Arc<Slots>,
    permit: Option<OwnedSemaphorePermit>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.permit = None;
        self.slots.change(|load| load.busy -= 1);
    }
}

/// A place in the queue. Dropping it leaves the queue.
struct QueuePlace<'a>(&'a Slots);

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.change(|load| load.queued -= 1);
    }
}

impl Slots {
    pub(crate) fn new(slots: usize, max_queued: usize) -> Self {
        let state = State { load: LoadReport::default(), history: VecDeque::new() };
        Slots { free: Arc::new(Semaphore::new(slots)), max_queued, state: Mutex::new(state) }
    }

    /// Changes the load and adds it to the history.
    pub(crate) fn change(&self, change: impl FnOnce(&mut LoadReport)) {
        lock(&self.state).change(change);
    }

    /// Takes a place in the queue; returns `None` if it is full.
    fn enter_queue(&self) -> Option<QueuePlace<'_>> {
        let mut state = lock(&self.state);
        if state.load.queued >= self.max_queued {
            return None;
        }
        state.change(|load| load.queued += 1);
        Some(QueuePlace(self))
    }

    /// Returns the load as it was `age` ago.
    pub(crate) fn load_at(&self, age: Duration) -> LoadReport {
        let now = Instant::now();
        let state = lock(&self.state);
        let mut past = state.history.iter().rev();
        past.find(|(at, _)| now.duration_since(*at) >= age)
            .map_or(LoadReport::default(), |(_, load)| *load)
    }

    /// Waits for a slot in order of arrival. Returns `None` if the queue is full or the deadline
    /// passes.
    pub(crate) async fn acquire(self: &Arc<Self>, deadline: Option<Instant>) -> Option<Slot> {
        let permit = match self.free.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                let place = self.enter_queue()?;
                let wait = self.free.clone().acquire_owned();
                let permit = match deadline {
                    Some(deadline) => timeout_at(deadline, wait).await.ok()?,
                    None => wait.await,
                };
                drop(place);
                permit.ok()?
            }
        };
        self.change(|load| load.busy += 1);
        Some(Slot { slots: self.clone(), permit: Some(permit) })
    }
}
