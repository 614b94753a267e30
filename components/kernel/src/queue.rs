use std::time::Duration;

use thiserror::Error;

use crate::{OrganisationId, Uptime};

/// Id of a queued request, unique within one VM.
pub type TicketId = u64;

/// A request waiting for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Id of the queued request.
    pub id: TicketId,
    /// Organisation that sent the request; empty on routes without authentication.
    pub organisation: OrganisationId,
    /// Scheduling weight of the organisation. Greater than 0.
    pub organisation_weight: f64,
    /// Scheduling weight of the route within its organisation. Greater than 0.
    pub route_weight: f64,
    /// Time by which the caller needs the response.
    pub deadline: Uptime,
}

/// Why a request was not queued. It has not been executed.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum QueueError {
    /// The queue is full.
    #[error("the queue of the service is full; retry in {} ms", retry.as_millis())]
    Full {
        /// Delay before a retry can succeed.
        retry: Duration,
    },
    /// The response cannot be ready by the deadline.
    #[error("the deadline cannot be met; allow more time or retry in {} ms", retry.as_millis())]
    TooLate {
        /// Delay before a retry can succeed.
        retry: Duration,
    },
}

/// Queue of the requests of one service, on the home of the service.
pub trait Queue: Send {
    /// Adds a request. `slots` is the number of slots that may currently be used.
    fn push(&mut self, now: Uptime, ticket: Ticket, slots: u32) -> Result<(), QueueError>;

    /// Removes and returns the next request to run. Called only when a slot is free.
    fn pop(&mut self, now: Uptime) -> Option<TicketId>;

    /// Puts back a request for which no backend server was available, ahead of the other requests
    /// of its organisation.
    fn requeue(&mut self, now: Uptime, ticket: Ticket);

    /// Removes a request whose caller has disconnected. Returns whether it was in the queue.
    fn cancel(&mut self, now: Uptime, id: TicketId) -> bool;

    /// Removes and returns the requests that can no longer meet their deadline.
    fn expire(&mut self, now: Uptime) -> Vec<TicketId>;

    /// Records that a request of the organisation occupied a slot for `used`.
    fn record_usage(&mut self, now: Uptime, organisation: &str, used: Duration);

    /// Returns the number of queued requests.
    fn len(&self) -> usize;

    /// Returns whether the queue is empty.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
