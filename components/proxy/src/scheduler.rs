mod crash_guard;
mod detector_actions;
mod state;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::prelude::*;
use kernel::{AttemptId, BackendEvent, Balancer, Detector, Queue, QueueError, Ticket};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use retry::{CrashGuard, HedgePolicy, RetryBudget};
use slotmap::{Key, SlotMap};
use tokio::sync::oneshot;

use self::state::{QueueKey, QueuedRequest, State, queue_key};
use crate::call::Call;
use crate::fleet::Fleet;
use crate::pool::Pool;
use crate::slot::Slot;

/// Idle connections are closed after this time, because the home of a service may have moved.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Components of the scheduler of a service.
pub struct SchedulerOptions {
    /// Detects failures of backend servers.
    pub detector: Box<dyn Detector>,
    /// Chooses a backend server.
    pub balancer: Box<dyn Balancer>,
    /// Orders the waiting requests.
    pub queue: Box<dyn Queue>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Schedules the requests of one service at its home VM: queue, slots and failure detection.
pub struct ServiceScheduler {
    service: ServiceId,
    fleet: Arc<dyn Fleet>,
    state: Mutex<State>,
}

impl ServiceScheduler {
    /// Creates a scheduler without backend servers.
    pub fn new(service: ServiceId, fleet: Arc<dyn Fleet>, options: SchedulerOptions) -> Arc<Self> {
        let state = State {
            detector: options.detector,
            balancer: options.balancer,
            queue: options.queue,
            rng: SmallRng::seed_from_u64(options.seed),
            queued: SlotMap::with_key(),
            pools: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: 0,
            retry_budget: RetryBudget::default(),
            hedge_policy: HedgePolicy::default(),
            crash_guard: CrashGuard::new(fleet.this_vm().incarnation),
        };
        Arc::new(ServiceScheduler { service, fleet, state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Uptime {
        self.fleet.now()
    }

    pub(crate) fn fleet(&self) -> &Arc<dyn Fleet> {
        &self.fleet
    }

    /// Calls `act` with the retry budget and the hedge policy.
    pub(crate) fn with_retry_state<T>(
        &self,
        act: impl FnOnce(&mut RetryBudget, &mut HedgePolicy) -> T,
    ) -> T {
        let state = &mut *self.lock();
        act(&mut state.retry_budget, &mut state.hedge_policy)
    }

    /// Replaces the set of backend servers.
    pub fn set_backends(self: &Arc<Self>, backends: &[BackendSpec]) {
        let now = self.now();
        {
            let state = &mut *self.lock();
            state.detector.set_backends(now, backends);
            state.balancer.set_backends(now, backends, &self.fleet.this_vm().place);
            state.pools.retain(|id, _| backends.iter().any(|b| b.id == *id));
            for backend in backends {
                let pool = state.pools.get(&backend.id);
                if pool.is_none_or(|p| p.address() != backend.address) {
                    state.pools.insert(backend.id.clone(), Pool::new(backend.address));
                }
            }
        }
        self.assign_slots();
    }

    /// Sets how many backend servers may be ejected at once.
    pub fn set_ejection_budget(&self, ejections: usize) {
        let now = self.now();
        self.lock().detector.set_ejection_budget(now, ejections);
    }

    /// Passes an event to the detector.
    pub fn observe(&self, event: &BackendEvent) {
        let now = self.now();
        self.lock().detector.observe(now, event);
    }

    /// Health status of every backend server.
    pub fn health_statuses(&self) -> Vec<(BackendId, HealthStatus)> {
        let now = self.now();
        let state = self.lock();
        state.pools.keys().map(|id| (id.clone(), state.detector.health_status(now, id))).collect()
    }

    /// Usable slots, slots in use, and number of queued requests.
    pub fn load(&self) -> (u32, u32, usize) {
        let now = self.now();
        let state = self.lock();
        let (usable, used) = state.load(now);
        (usable, used, state.queue.len())
    }

    /// Waits in the queue for a slot.
    pub async fn acquire_slot(
        self: &Arc<Self>,
        call: &Call,
        tried: &[BackendId],
    ) -> Result<Slot, Refusal> {
        let now = self.now();
        call.remaining(now)?;
        let _queue = telemetry::queue_span(&call.span, &call.organisation);
        let (slot_sender, mut slot) = oneshot::channel();
        let key = {
            let state = &mut *self.lock();
            let key = state.queued.insert_with_key(|key| QueuedRequest {
                ticket: Ticket {
                    id: key.data().as_ffi(),
                    organisation: call.organisation.clone(),
                    organisation_weight: call.organisation_weight,
                    route_weight: call.route_weight,
                    deadline: call.deadline,
                },
                idempotent: call.idempotent,
                tried: tried.to_vec(),
                slot_sender,
            });
            let (usable, _) = state.load(now);
            let ticket = state.queued[key].ticket.clone();
            if let Err(error) = state.queue.push(now, ticket, usable) {
                state.queued.remove(key);
                return Err(queue_refusal(error));
            }
            key
        };
        let guard = QueueGuard { scheduler: self, key };
        self.assign_slots();
        let result = (&mut slot).await;
        drop(guard);
        result.unwrap_or_else(|_| {
            Err(Refusal::not_run(RefusalKind::Stopping, "this VM is stopping; use another"))
        })
    }

    /// Frees a slot and assigns it to the next request.
    pub(crate) fn release(
        self: &Arc<Self>,
        backend: &str,
        attempt: AttemptId,
        organisation: &str,
        slot_time: Duration,
    ) {
        let now = self.now();
        self.fleet.record_usage(&self.service, organisation, slot_time);
        {
            let state = &mut *self.lock();
            state.attempts.remove(&attempt);
            state.balancer.release(now, backend);
            state.queue.record_usage(now, organisation, slot_time);
        }
        self.assign_slots();
    }

    /// Assigns free slots to waiting requests.
    fn assign_slots(self: &Arc<Self>) {
        let now = self.now();
        let reserved = self.lock().reserve(now);
        // The slots are built without holding the lock, because dropping a slot takes the lock.
        for r in reserved {
            let organisation = r.queued.ticket.organisation;
            let scheduler = Arc::clone(self);
            let slot = Slot::new(scheduler, r.backend, r.pool, r.cancel, r.attempt, organisation);
            let _ = r.queued.slot_sender.send(Ok(slot));
        }
    }

    /// Evaluates the failure detector and the deadlines. Called every 50 ms.
    pub fn tick(self: &Arc<Self>) {
        let now = self.now();
        let (actions, expired) = {
            let state = &mut *self.lock();
            let expired = state.queue.expire(now);
            let expired: Vec<QueuedRequest> =
                expired.into_iter().filter_map(|id| state.queued.remove(queue_key(id))).collect();
            (state.detector.poll(now, &mut state.rng), expired)
        };
        for waiting in expired {
            let refusal = Refusal::not_run(
                RefusalKind::DeadlinePassed,
                "no slot became free in time; allow more time or retry later",
            );
            let _ = waiting.slot_sender.send(Err(refusal));
        }
        for action in actions {
            self.apply(action);
        }
        let homes = self.fleet.service_homes(&self.service);
        self.with_crash_guard(|_, guard| guard.set_homes(&homes));
        self.assign_slots();
    }

    /// Closes connections that have been idle for `MAX_IDLE`. Called every few seconds.
    pub fn close_idle(&self) {
        for pool in self.lock().pools.values() {
            pool.close_idle(MAX_IDLE);
        }
    }

    /// Fetches the load reports of draining backend servers, so that a server that was replaced at
    /// its address receives requests again. Called every few seconds; a report costs the backend
    /// server 25 ms.
    pub fn poll_draining(self: &Arc<Self>) {
        let now = self.now();
        let draining: Vec<(BackendId, Arc<Pool>)> = {
            let state = self.lock();
            let pools = state.pools.iter();
            let draining = pools
                .filter(|(id, _)| state.detector.health_status(now, id) == HealthStatus::Draining);
            draining.map(|(id, pool)| (id.clone(), Arc::clone(pool))).collect()
        };
        for (backend, pool) in draining {
            let scheduler = Arc::clone(self);
            tokio::spawn(async move {
                if let Some(load) = crate::attempt::fetch_load(&pool).await {
                    scheduler.observe(&BackendEvent::LoadReported { backend, load });
                }
            });
        }
    }
}

/// Removes a request from the queue when its future is dropped.
struct QueueGuard<'a> {
    scheduler: &'a Arc<ServiceScheduler>,
    key: QueueKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let now = self.scheduler.now();
        let state = &mut *self.scheduler.lock();
        if state.queued.remove(self.key).is_some() {
            state.queue.cancel(now, self.key.data().as_ffi());
        }
    }
}

fn queue_refusal(error: QueueError) -> Refusal {
    let (kind, retry) = match error {
        QueueError::Full { retry } => (RefusalKind::Overloaded, retry),
        QueueError::TooLate { retry } => (RefusalKind::DeadlinePassed, retry),
    };
    Refusal::not_run(kind, error.to_string()).retry_after(retry)
}
