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
    home: Arc<ServiceScheduler>,
    /// Backend server.
    pub backend: BackendId,
    /// Connections to it.
    pub pool: Arc<Pool>,
    /// Cancelled when the detector finds that the connection of the attempt is silent.
    pub silent: CancellationToken,
    /// Span of the attempt; none until the request goes out.
    pub span: Span,
    attempt: AttemptId,
    organisation: OrganisationId,
    start: Uptime,
    /// Whether `Sent` was observed, so that the end must be observed too.
    sent: bool,
    /// When the request went out; the reservation of the slot before that.
    sent_at: Uptime,
    /// Whether the end was observed.
    ended: bool,
}

impl Slot {
    /// Takes over a slot that the balancer has reserved.
    pub(crate) fn new(
        home: Arc<ServiceScheduler>,
        backend: BackendId,
        pool: Arc<Pool>,
        silent: CancellationToken,
        attempt: AttemptId,
        organisation: OrganisationId,
    ) -> Self {
        let start = home.now();
        Slot {
            home,
            backend,
            pool,
            silent,
            span: Span::none(),
            attempt,
            organisation,
            start,
            sent: false,
            sent_at: start,
            ended: false,
        }
    }

    /// Starts the span of the attempt below that of the request.
    pub fn start_span(&mut self, request: &Span) {
        self.span = telemetry::attempt_span(request, &self.backend, self.attempt);
    }

    /// Asks the crash guard whether the request may be sent now; `Run` starts the attempt.
    pub fn guard(&self, fingerprint: &Fingerprint) -> GuardDecision {
        self.home
            .with_guard(|now, guard| guard.start(now, self.attempt, fingerprint, &self.backend))
    }

    /// Tells the detector that the request goes out.
    pub fn mark_sent(&mut self, reused: bool) {
        self.sent = true;
        self.sent_at = self.home.now();
        self.home.observe(&BackendEvent::Sent {
            backend: self.backend.clone(),
            attempt: self.attempt,
            reused,
        });
    }

    /// Tells the detector that the head of the response arrived. Returns the time since the request
    /// went out.
    pub fn mark_answered(&mut self) -> Duration {
        self.home.observe(&BackendEvent::HeadReceived { attempt: self.attempt });
        self.home.now().saturating_sub(self.sent_at)
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
        let request_fault = self.home.with_guard(|now, guard| {
            if end == AttemptEnd::Completed {
                guard.mark_backend_alive(&self.backend, self.start);
            }
            guard.finish_attempt(now, self.attempt, end)
        });
        if outcome == AttemptOutcome::Reset {
            self.home.check_death(&self.backend, &self.pool);
        }
        if self.sent || outcome == AttemptOutcome::ConnectFailed {
            self.home.observe(&BackendEvent::Ended {
                backend: self.backend.clone(),
                attempt: self.attempt,
                outcome,
                request_fault,
            });
        }
        let used = self.home.now().saturating_sub(self.start);
        self.home.release(&self.backend, self.attempt, &self.organisation, used);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Cancelled);
    }
}
