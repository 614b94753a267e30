use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use super::options::Load;
use crate::door::lock;

/// Age at which load reports are forgotten.
const MAX_AGE: Duration = Duration::from_secs(120);

/// Counts slots and waiting requests and remembers how they changed.
pub(crate) struct Slots {
    free: Arc<Semaphore>,
    waiting: usize,
    state: Mutex<State>,
}

struct State {
    load: Load,
    history: VecDeque<(Instant, Load)>,
}

impl State {
    fn change(&mut self, change: impl FnOnce(&mut Load)) {
        let now = Instant::now();
        change(&mut self.load);
        self.history.push_back((now, self.load));
        // The newest of the old entries still says what the load was at that age.
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) > MAX_AGE) {
            self.history.pop_front();
        }
    }
}

/// A slot in use; dropping it frees the slot.
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

/// A place in the queue; dropping it gives it up.
struct Place<'a>(&'a Slots);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.change(|load| load.queued -= 1);
    }
}

impl Slots {
    pub(crate) fn new(slots: usize, waiting: usize) -> Self {
        let state = State { load: Load::default(), history: VecDeque::new() };
        Slots { free: Arc::new(Semaphore::new(slots)), waiting, state: Mutex::new(state) }
    }

    /// Changes the load and remembers the change.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Load)) {
        lock(&self.state).change(change);
    }

    /// Takes a place in the queue; none if it is full.
    fn queue(&self) -> Option<Place<'_>> {
        let mut state = lock(&self.state);
        if state.load.queued >= self.waiting {
            return None;
        }
        state.change(|load| load.queued += 1);
        Some(Place(self))
    }

    /// The load as it was `lag` ago.
    pub(crate) fn load(&self, lag: Duration) -> Load {
        let now = Instant::now();
        let state = lock(&self.state);
        let mut past = state.history.iter().rev();
        past.find(|(at, _)| now.duration_since(*at) >= lag)
            .map_or(Load::default(), |(_, load)| *load)
    }

    /// Waits for a slot in order of arrival; none if the queue is full or the deadline passes.
    pub(crate) async fn enter(self: &Arc<Self>, by: Option<Instant>) -> Option<Slot> {
        let permit = match self.free.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                let place = self.queue()?;
                let wait = self.free.clone().acquire_owned();
                let permit = match by {
                    Some(by) => timeout_at(by, wait).await.ok()?,
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
