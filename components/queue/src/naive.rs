use std::collections::VecDeque;
use std::time::Duration;

use kernel::{Queue, QueueError, QueuePlugin, Ticket, TicketId, Uptime};

/// Maximum number of queued requests of all organisations together.
const MAX_QUEUED: usize = 8192;
/// Retry delay returned to refused callers; this queue has no measurements to derive it from.
const RETRY_AFTER: Duration = Duration::from_secs(1);

inventory::submit! {
    QueuePlugin { name: "naive", build: |_| Box::new(NaiveQueue::default()) }
}

/// First-in, first-out queue that ignores organisations.
#[derive(Debug, Default)]
pub struct NaiveQueue {
    queued: VecDeque<Ticket>,
}

impl Queue for NaiveQueue {
    fn push(&mut self, now: Uptime, ticket: Ticket, _slots: u32) -> Result<(), QueueError> {
        if ticket.deadline <= now {
            return Err(QueueError::TooLate { retry: RETRY_AFTER });
        }
        if self.queued.len() >= MAX_QUEUED {
            return Err(QueueError::Full { retry: RETRY_AFTER });
        }
        self.queued.push_back(ticket);
        Ok(())
    }

    fn pop(&mut self, _now: Uptime) -> Option<TicketId> {
        self.queued.pop_front().map(|t| t.id)
    }

    fn requeue(&mut self, _now: Uptime, ticket: Ticket) {
        self.queued.push_front(ticket);
    }

    fn cancel(&mut self, _now: Uptime, id: TicketId) -> bool {
        let at = self.queued.iter().position(|t| t.id == id);
        at.is_some_and(|at| self.queued.remove(at).is_some())
    }

    fn expire(&mut self, now: Uptime) -> Vec<TicketId> {
        let mut expired = Vec::new();
        self.queued.retain(|t| {
            let keep = t.deadline > now;
            if !keep {
                expired.push(t.id);
            }
            keep
        });
        expired
    }

    fn record_usage(&mut self, _now: Uptime, _organisation: &str, _used: Duration) {}

    fn len(&self) -> usize {
        self.queued.len()
    }
}
