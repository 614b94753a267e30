use std::time::Duration;

use thiserror::Error;

use crate::{OrganisationId, Uptime};

/// Number of a queued request, unique on one VM.
pub type TicketId = u64;

/// One request that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Number of the request.
    pub id: TicketId,
    /// Organisation that it runs for; empty on open routes.
    pub organisation: OrganisationId,
    /// Weight of the organisation. Above 0.
    pub share: f64,
    /// Weight of the route. Above 0.
    pub weight: f64,
    /// Time by which the answer is due.
    pub deadline: Uptime,
}

/// Why a queue takes no ticket. The request was not run.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum QueueError {
    /// The queue is full.
    #[error("the queue of the service is full; retry in {} ms", retry.as_millis())]
    Full {
        /// When to retry.
        retry: Duration,
    },
    /// The answer cannot be in time.
    #[error("the deadline cannot be met; allow more time or retry in {} ms", retry.as_millis())]
    TooLate {
        /// When to retry.
        retry: Duration,
    },
}

/// Orders the requests of one service at its home.
pub trait Queue: Send {
    /// Adds a request. `slots` is the number of slots that may take work now.
    fn push(&mut self, now: Uptime, ticket: Ticket, slots: u32) -> Result<(), QueueError>;

    /// Takes out the request that runs next. A slot is free for it.
    fn pop(&mut self, now: Uptime) -> Option<TicketId>;

    /// Puts back a request that found no backend server, ahead of its organisation's others.
    fn unpop(&mut self, now: Uptime, ticket: Ticket);

    /// Takes out a request whose caller has gone. Returns whether it waited here.
    fn cancel(&mut self, now: Uptime, id: TicketId) -> bool;

    /// Takes out the requests that can no longer be in time.
    fn expire(&mut self, now: Uptime) -> Vec<TicketId>;

    /// Tells that a request of the organisation used a slot for `used`.
    fn finished(&mut self, now: Uptime, organisation: &str, used: Duration);

    /// Number of waiting requests.
    fn len(&self) -> usize;

    /// Whether no request waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
