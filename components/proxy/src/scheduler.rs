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

use self::state::{State, WaitKey, Waiting, wait_key};
use crate::call::Call;
use crate::fleet::Fleet;
use crate::pool::Pool;
use crate::slot::Slot;

/// Idle connections are closed after this time; the home of a service may have moved.
const IDLE_CLOSE: Duration = Duration::from_secs(30);

/// Decisions of a service at its home.
pub struct SchedulerOptions {
    /// Judges the backend servers.
    pub detector: Box<dyn Detector>,
    /// Chooses a backend server.
    pub balancer: Box<dyn Balancer>,
    /// Orders the requests.
    pub queue: Box<dyn Queue>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// One service at its home VM: queue, slots and evidence.
pub struct ServiceScheduler {
    service: ServiceId,
    fleet: Arc<dyn Fleet>,
    state: Mutex<State>,
}

impl ServiceScheduler {
    /// A home without backend servers.
    pub fn new(service: ServiceId, fleet: Arc<dyn Fleet>, options: SchedulerOptions) -> Arc<Self> {
        let state = State {
            detector: options.detector,
            balancer: options.balancer,
            queue: options.queue,
            rng: SmallRng::seed_from_u64(options.seed),
            waiting: SlotMap::with_key(),
            pools: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: 0,
            budget: RetryBudget::default(),
            hedge: HedgePolicy::default(),
            guard: CrashGuard::new(fleet.this_vm().incarnation),
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

    /// Uses the retry budget and the hedge policy.
    pub(crate) fn with_retries<T>(
        &self,
        act: impl FnOnce(&mut RetryBudget, &mut HedgePolicy) -> T,
    ) -> T {
        let state = &mut *self.lock();
        act(&mut state.budget, &mut state.hedge)
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
        self.pump();
    }

    /// Sets how many backend servers may be ejected at once.
    pub fn set_ejection_budget(&self, ejections: usize) {
        let now = self.now();
        self.lock().detector.set_ejection_budget(now, ejections);
    }

    /// Gives evidence to the detector.
    pub fn observe(&self, event: &BackendEvent) {
        let now = self.now();
        self.lock().detector.observe(now, event);
    }

    /// HealthStatus of every backend server.
    pub fn health_statuses(&self) -> Vec<(BackendId, HealthStatus)> {
        let now = self.now();
        let state = self.lock();
        state.pools.keys().map(|id| (id.clone(), state.detector.health_status(now, id))).collect()
    }

    /// Slots that may take work, slots in use, and requests that wait.
    pub fn load(&self) -> (u32, u32, usize) {
        let now = self.now();
        let state = self.lock();
        let (usable, used) = state.load(now);
        (usable, used, state.queue.len())
    }

    /// Waits in the queue for a slot.
    pub async fn acquire(
        self: &Arc<Self>,
        call: &Call,
        tried: &[BackendId],
    ) -> Result<Slot, Refusal> {
        let now = self.now();
        call.left(now)?;
        let _queue = telemetry::queue_span(&call.span, &call.organisation);
        let (reply, mut slot) = oneshot::channel();
        let key = {
            let state = &mut *self.lock();
            let key = state.waiting.insert_with_key(|key| Waiting {
                ticket: Ticket {
                    id: key.data().as_ffi(),
                    organisation: call.organisation.clone(),
                    organisation_weight: call.share,
                    route_weight: call.weight,
                    deadline: call.deadline,
                },
                idempotent: call.idempotent,
                tried: tried.to_vec(),
                reply,
            });
            let (usable, _) = state.load(now);
            let ticket = state.waiting[key].ticket.clone();
            if let Err(error) = state.queue.push(now, ticket, usable) {
                state.waiting.remove(key);
                return Err(refuse_queue(error));
            }
            key
        };
        let guard = WaitGuard { home: self, key };
        self.pump();
        let result = (&mut slot).await;
        drop(guard);
        result.unwrap_or_else(|_| {
            Err(Refusal::not_run(RefusalKind::Stopping, "this VM is stopping; use another"))
        })
    }

    /// Frees a slot and hands it to the next request.
    pub(crate) fn release(
        self: &Arc<Self>,
        backend: &str,
        attempt: AttemptId,
        organisation: &str,
        used: Duration,
    ) {
        let now = self.now();
        self.fleet.record_usage(&self.service, organisation, used);
        {
            let state = &mut *self.lock();
            state.attempts.remove(&attempt);
            state.balancer.release(now, backend);
            state.queue.record_usage(now, organisation, used);
        }
        self.pump();
    }

    /// Hands free slots to waiting requests.
    fn pump(self: &Arc<Self>) {
        let now = self.now();
        let reserved = self.lock().reserve(now);
        // The slots are built outside of the lock, because dropping one takes the lock again.
        for r in reserved {
            let organisation = r.waiting.ticket.organisation;
            let home = Arc::clone(self);
            let slot = Slot::new(home, r.backend, r.pool, r.silent, r.attempt, organisation);
            let _ = r.waiting.reply.send(Ok(slot));
        }
    }

    /// Re-evaluates the evidence and the deadlines. Called every 50 ms.
    pub fn tick(self: &Arc<Self>) {
        let now = self.now();
        let (actions, late) = {
            let state = &mut *self.lock();
            let late = state.queue.expire(now);
            let late: Vec<Waiting> =
                late.into_iter().filter_map(|id| state.waiting.remove(wait_key(id))).collect();
            (state.detector.poll(now, &mut state.rng), late)
        };
        for waiting in late {
            let refusal = Refusal::not_run(
                RefusalKind::DeadlinePassed,
                "no slot became free in time; allow more time or retry later",
            );
            let _ = waiting.reply.send(Err(refusal));
        }
        for action in actions {
            self.act(action);
        }
        let homes = self.fleet.service_homes(&self.service);
        self.with_guard(|_, guard| guard.set_homes(&homes));
        self.pump();
    }

    /// Closes connections that have not been used for a while. Called every few seconds.
    pub fn close_idle(&self) {
        for pool in self.lock().pools.values() {
            pool.close_idle(IDLE_CLOSE);
        }
    }

    /// Asks backend servers that are leaving whether they still are, so that one that was replaced
    /// at its address takes work again. Called every few seconds; an answer costs 25 ms there.
    pub fn poll_draining(self: &Arc<Self>) {
        let now = self.now();
        let leaving: Vec<(BackendId, Arc<Pool>)> = {
            let state = self.lock();
            let pools = state.pools.iter();
            let leaving = pools
                .filter(|(id, _)| state.detector.health_status(now, id) == HealthStatus::Draining);
            leaving.map(|(id, pool)| (id.clone(), Arc::clone(pool))).collect()
        };
        for (backend, pool) in leaving {
            let home = Arc::clone(self);
            tokio::spawn(async move {
                if let Some(load) = crate::attempt::ask_load(&pool).await {
                    home.observe(&BackendEvent::LoadReported { backend, load });
                }
            });
        }
    }
}

/// Takes a request out of the queue when its caller has gone.
struct WaitGuard<'a> {
    home: &'a Arc<ServiceScheduler>,
    key: WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let now = self.home.now();
        let state = &mut *self.home.lock();
        if state.waiting.remove(self.key).is_some() {
            state.queue.cancel(now, self.key.data().as_ffi());
        }
    }
}

fn refuse_queue(error: QueueError) -> Refusal {
    let (kind, retry) = match error {
        QueueError::Full { retry } => (RefusalKind::Overloaded, retry),
        QueueError::TooLate { retry } => (RefusalKind::DeadlinePassed, retry),
    };
    Refusal::not_run(kind, error.to_string()).retry_after(retry)
}
