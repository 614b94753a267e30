use std::sync::Arc;

use kernel::prelude::*;
use kernel::{AttemptId, AttemptOutcome, BackendEvent};
use retry::{AttemptEnd, Fingerprint, GuardDecision};
use tokio_util::sync::CancellationToken;
use tracing::Span;

use crate::pool::Pool;
use crate::scheduler::ServiceScheduler;

/// A reserved slot of a backend server. Dropping it frees the slot.
pub struct Slot {
    scheduler: Arc<ServiceScheduler>,
    /// Backend server.
    pub backend: BackendId,
    /// Connections to the backend server.
    pub pool: Arc<Pool>,
    /// Cancelled when the detector reports that the connection of the attempt is silent.
    pub cancel: CancellationToken,
    /// Span of the attempt; disabled until `start_span`.
    pub span: Span,
    attempt: AttemptId,
    organisation: OrganisationId,
    reserved_at: Uptime,
    /// Whether the detector was told that the request was sent, and so must be told how it ended.
    sent: bool,
    /// Time at which the request was sent; until then, the time at which the slot was reserved.
    sent_at: Uptime,
    /// Whether `finish` has run.
    ended: bool,
}

impl Slot {
    /// Wraps a slot that the balancer has reserved.
    pub(crate) fn new(
        scheduler: Arc<ServiceScheduler>,
        backend: BackendId,
        pool: Arc<Pool>,
        cancel: CancellationToken,
        attempt: AttemptId,
        organisation: OrganisationId,
    ) -> Self {
        let reserved_at = scheduler.now();
        Slot {
            scheduler,
            backend,
            pool,
            cancel,
            span: Span::none(),
            attempt,
            organisation,
            reserved_at,
            sent: false,
            sent_at: reserved_at,
            ended: false,
        }
    }

    /// Starts the span of the attempt as a child of the request's span.
    pub fn start_span(&mut self, request: &Span) {
        self.span = telemetry::attempt_span(request, &self.backend, self.attempt);
    }

    /// Asks the crash guard whether the request may be sent now. With `Run`, the guard counts the
    /// attempt as started.
    pub fn start_guarded(&self, fingerprint: &Fingerprint) -> GuardDecision {
        self.scheduler.with_crash_guard(|now, guard| {
            guard.start(now, self.attempt, fingerprint, &self.backend)
        })
    }

    /// Tells the detector that the request is being sent.
    pub fn mark_sent(&mut self, reused: bool) {
        self.sent = true;
        self.sent_at = self.scheduler.now();
        self.scheduler.observe(&BackendEvent::Sent {
            backend: self.backend.clone(),
            attempt: self.attempt,
            reused,
        });
    }

    /// Tells the detector that the head of the response arrived. Returns the time since the request
    /// was sent.
    pub fn mark_head_received(&mut self) -> Duration {
        self.scheduler.observe(&BackendEvent::HeadReceived { attempt: self.attempt });
        self.scheduler.now().saturating_sub(self.sent_at)
    }

    /// Tells the detector how the attempt ended and frees the slot.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.span.record("outcome", tracing::field::debug(outcome));
        let end = match outcome {
            AttemptOutcome::Success | AttemptOutcome::ServerError => AttemptEnd::Completed,
            AttemptOutcome::Reset => AttemptEnd::Reset,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if self.sent => {
                AttemptEnd::Abandoned
            }
            _ => AttemptEnd::NotRun,
        };
        let request_fault = self.scheduler.with_crash_guard(|now, guard| {
            if end == AttemptEnd::Completed {
                guard.mark_backend_alive(&self.backend, self.reserved_at);
            }
            guard.finish_attempt(now, self.attempt, end)
        });
        if outcome == AttemptOutcome::Reset {
            self.scheduler.check_crash(&self.backend, &self.pool);
        }
        if self.sent || outcome == AttemptOutcome::ConnectFailed {
            self.scheduler.observe(&BackendEvent::Ended {
                backend: self.backend.clone(),
                attempt: self.attempt,
                outcome,
                request_fault,
            });
        }
        let slot_time = self.scheduler.now().saturating_sub(self.reserved_at);
        self.scheduler.release(&self.backend, self.attempt, &self.organisation, slot_time);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Cancelled);
    }
}
