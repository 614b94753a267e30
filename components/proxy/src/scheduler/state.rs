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

/// Maximum number of requests per round that are skipped because no backend server can take them.
const MAX_SKIPPED: usize = 4;

new_key_type! {
    /// Key of a waiting request, equal to the ID of its ticket.
    pub struct QueueKey;
}

/// A request that waits for a slot.
pub struct QueuedRequest {
    pub ticket: Ticket,
    pub idempotent: bool,
    pub tried: Vec<BackendId>,
    pub slot_sender: oneshot::Sender<Result<Slot, Refusal>>,
}

/// Components of a scheduler and its waiting requests.
pub struct State {
    pub detector: Box<dyn Detector>,
    pub balancer: Box<dyn Balancer>,
    pub queue: Box<dyn Queue>,
    pub rng: SmallRng,
    /// Waiting requests; every ticket in the queue has its request here.
    pub queued: SlotMap<QueueKey, QueuedRequest>,
    pub pools: HashMap<BackendId, Arc<Pool>>,
    /// Running attempts, with the tokens that cancel them when their connection is silent.
    pub attempts: HashMap<AttemptId, CancellationToken>,
    pub next_attempt: AttemptId,
    pub retry_budget: RetryBudget,
    pub hedge_policy: HedgePolicy,
    pub crash_guard: CrashGuard,
}

/// A reserved slot that has not been passed to its request yet.
pub struct ReservedSlot {
    pub queued: QueuedRequest,
    pub backend: BackendId,
    pub pool: Arc<Pool>,
    pub attempt: AttemptId,
    pub cancel: CancellationToken,
}

impl State {
    /// Usable slots and slots in use.
    pub fn load(&self, now: Uptime) -> (u32, u32) {
        self.balancer.load(&|id| self.detector.health_status(now, id))
    }

    /// Reserves slots for waiting requests, in the order of the queue.
    pub fn reserve(&mut self, now: Uptime) -> Vec<ReservedSlot> {
        let mut reserved = Vec::new();
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED && !self.queue.is_empty() {
            let Some(id) = self.queue.pop(now) else { break };
            let Some(queued) = self.queued.get(queue_key(id)) else { continue };
            let request = PickRequest { idempotent: queued.idempotent, tried: &queued.tried };
            let detector = &self.detector;
            let health_status = |id: &str| detector.health_status(now, id);
            let pick = self.balancer.pick(now, &request, &health_status, &mut self.rng);
            let pool = pick.as_ref().and_then(|p| self.pools.get(&p.backend).cloned());
            let (Some(pick), Some(pool)) = (pick, pool) else {
                skipped.push(queued.ticket.clone());
                continue;
            };
            let Some(queued) = self.queued.remove(queue_key(id)) else { continue };
            self.next_attempt += 1;
            let attempt = self.next_attempt;
            let cancel = CancellationToken::new();
            self.attempts.insert(attempt, cancel.clone());
            reserved.push(ReservedSlot { queued, backend: pick.backend, pool, attempt, cancel });
        }
        for ticket in skipped.into_iter().rev() {
            self.queue.requeue(now, ticket);
        }
        reserved
    }
}

/// Key of the waiting request with this ticket ID.
pub fn queue_key(id: u64) -> QueueKey {
    KeyData::from_ffi(id).into()
}
