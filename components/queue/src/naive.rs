use std::collections::VecDeque;
use std::time::Duration;

use kernel::{Queue, QueueError, QueuePlugin, Ticket, TicketId, Uptime};

/// Most requests that wait at once, of all organisations together.
const LONGEST: usize = 8192;
/// When to retry after a refusal; the naive queue measures nothing it could be derived from.
const RETRY: Duration = Duration::from_secs(1);

inventory::submit! {
    QueuePlugin { name: "naive", build: |_| Box::new(NaiveQueue::default()) }
}

/// First in, first out, whatever the organisation.
#[derive(Debug, Default)]
pub struct NaiveQueue {
    waiting: VecDeque<Ticket>,
}

impl Queue for NaiveQueue {
    fn push(&mut self, now: Uptime, ticket: Ticket, _slots: u32) -> Result<(), QueueError> {
        if ticket.deadline <= now {
            return Err(QueueError::TooLate { retry: RETRY });
        }
        if self.waiting.len() >= LONGEST {
            return Err(QueueError::Full { retry: RETRY });
        }
        self.waiting.push_back(ticket);
        Ok(())
    }

    fn pop(&mut self, _now: Uptime) -> Option<TicketId> {
        self.waiting.pop_front().map(|t| t.id)
    }

    fn requeue(&mut self, _now: Uptime, ticket: Ticket) {
        self.waiting.push_front(ticket);
    }

    fn cancel(&mut self, _now: Uptime, id: TicketId) -> bool {
        let at = self.waiting.iter().position(|t| t.id == id);
        at.is_some_and(|at| self.waiting.remove(at).is_some())
    }

    fn expire(&mut self, now: Uptime) -> Vec<TicketId> {
        let mut late = Vec::new();
        self.waiting.retain(|t| {
            let keep = t.deadline > now;
            if !keep {
                late.push(t.id);
            }
            keep
        });
        late
    }

    fn record_usage(&mut self, _now: Uptime, _organisation: &str, _used: Duration) {}

    fn len(&self) -> usize {
        self.waiting.len()
    }
}
