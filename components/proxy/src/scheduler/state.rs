use std::collections::HashMap;
use std::sync::Arc;

use kernel::prelude::*;
use kernel::{AttemptId, Balancer, Detector, PickRequest, Queue, Ticket};
use rand::rngs::SmallRng;
use retry::{CrashGuard, HedgePolicy, RetryBudget};
use slotmap::{KeyData, SlotMap, new_key_type};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::pool::Pool;
use crate::slot::Slot;

/// Requests that are looked at in one round when the first finds no backend server.
const LOOKAHEAD: usize = 4;

new_key_type! {
    /// A waiting request; its number is the number of its ticket.
    pub struct WaitKey;
}

/// A request that waits for a slot.
pub struct Waiting {
    pub ticket: Ticket,
    pub idempotent: bool,
    pub tried: Vec<BackendId>,
    pub reply: oneshot::Sender<Result<Slot, Refusal>>,
}

/// Decisions of a home and what waits for them.
pub struct State {
    pub detector: Box<dyn Detector>,
    pub balancer: Box<dyn Balancer>,
    pub queue: Box<dyn Queue>,
    pub rng: SmallRng,
    /// Requests that wait; every ticket in the queue has its entry here.
    pub waiting: SlotMap<WaitKey, Waiting>,
    pub pools: HashMap<BackendId, Arc<Pool>>,
    /// Attempts that run, so that a silent connection can be dropped.
    pub attempts: HashMap<AttemptId, CancellationToken>,
    pub next_attempt: AttemptId,
    pub budget: RetryBudget,
    pub hedge: HedgePolicy,
    pub guard: CrashGuard,
}

/// A slot that was reserved and still has to be handed over.
pub struct Reserved {
    pub waiting: Waiting,
    pub backend: BackendId,
    pub pool: Arc<Pool>,
    pub attempt: AttemptId,
    pub silent: CancellationToken,
}

impl State {
    /// Slots that may take work, and slots in use.
    pub fn load(&self, now: Uptime) -> (u32, u32) {
        self.balancer.load(&|id| self.detector.health_status(now, id))
    }

    /// Reserves slots for waiting requests, in the order of the queue.
    pub fn reserve(&mut self, now: Uptime) -> Vec<Reserved> {
        let mut reserved = Vec::new();
        let mut passed = Vec::new();
        while passed.len() < LOOKAHEAD && !self.queue.is_empty() {
            let Some(id) = self.queue.pop(now) else { break };
            let Some(waiting) = self.waiting.get(wait_key(id)) else { continue };
            let request = PickRequest { idempotent: waiting.idempotent, tried: &waiting.tried };
            let detector = &self.detector;
            let standing = |id: &str| detector.health_status(now, id);
            let pick = self.balancer.pick(now, &request, &standing, &mut self.rng);
            let pool = pick.as_ref().and_then(|p| self.pools.get(&p.backend).cloned());
            let (Some(pick), Some(pool)) = (pick, pool) else {
                passed.push(waiting.ticket.clone());
                continue;
            };
            let Some(waiting) = self.waiting.remove(wait_key(id)) else { continue };
            self.next_attempt += 1;
            let attempt = self.next_attempt;
            let silent = CancellationToken::new();
            self.attempts.insert(attempt, silent.clone());
            reserved.push(Reserved { waiting, backend: pick.backend, pool, attempt, silent });
        }
        for ticket in passed.into_iter().rev() {
            self.queue.requeue(now, ticket);
        }
        reserved
    }
}

/// The waiting request of a ticket.
pub fn wait_key(id: u64) -> WaitKey {
    KeyData::from_ffi(id).into()
}
