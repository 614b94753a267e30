use http::Response;
use kernel::prelude::*;
use telemetry::RequestOutcome;
use tracing::Span;

use crate::answer::outcome;
use crate::attempt::AttemptTime;
use crate::body::Body;
use crate::call::Call;

/// What answered a request; an extension of the response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Responder {
    /// A backend server that this VM sent it to.
    Backend(BackendId),
    /// Another VM that this VM forwarded it to.
    Vm(VmId),
}

/// What is recorded of a finished request. It names no key.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Id that callers and backend servers see; the same on every VM that the request came to.
    pub id: Box<str>,
    /// Route, if one matched.
    pub route: RouteId,
    /// Service, if a route matched.
    pub service: ServiceId,
    /// Organisation; empty on open routes.
    pub organisation: OrganisationId,
    /// Refusal kind; none if a backend server answered.
    pub refusal: Option<RefusalKind>,
    /// Whether another VM forwarded it.
    pub forwarded: bool,
    /// Time from the head of the request to the head of the response.
    pub response_time: Duration,
    /// How the request ended for its caller.
    pub outcome: RequestOutcome,
    /// Time of the attempt that answered; none if it ran on another VM or is not known.
    pub attempt_time: Option<Duration>,
    /// What answered; none if this VM did.
    pub responder: Option<Responder>,
    /// Span of the request; none if it had no route.
    pub span: Span,
}

impl RequestRecord {
    /// The record of a request of which nothing is known yet.
    pub fn new(id: Box<str>, forwarded: bool) -> Self {
        RequestRecord {
            id,
            route: RouteId::default(),
            service: ServiceId::default(),
            organisation: OrganisationId::default(),
            refusal: None,
            forwarded,
            response_time: Duration::ZERO,
            outcome: RequestOutcome::Unknown,
            attempt_time: None,
            responder: None,
            span: Span::none(),
        }
    }

    /// Takes over what the request is.
    pub fn identify(&mut self, call: &Call) {
        self.id = call.id.clone();
        self.route = call.route.clone();
        self.service = call.service.clone();
        self.organisation = call.organisation.clone();
        self.span = call.span.clone();
    }

    /// Takes over how the request ended.
    pub fn finish(&mut self, response: &Response<Body>, response_time: Duration) {
        self.response_time = response_time;
        self.outcome = match outcome(response.headers()) {
            Some(Outcome::NotRun) => RequestOutcome::NotRun,
            Some(Outcome::Unknown) => RequestOutcome::Unknown,
            None if response.status().is_server_error() => RequestOutcome::BackendError,
            None => RequestOutcome::Answered,
        };
        self.attempt_time = response.extensions().get().map(|AttemptTime(time)| *time);
        self.responder = response.extensions().get().cloned();
        self.span.record("outcome", self.outcome.as_str());
    }
}
