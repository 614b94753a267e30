use http::Response;
use kernel::prelude::*;
use telemetry::RequestOutcome;
use tracing::Span;

use crate::attempt::AttemptTime;
use crate::body::Body;
use crate::call::Call;
use crate::refusal_response::response_outcome;

/// Source of a response, stored as an extension of the response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Responder {
    /// A backend server to which this VM sent the request.
    Backend(BackendId),
    /// Another VM to which this VM forwarded the request.
    Vm(VmId),
}

/// Record of a finished request. It contains no key.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Request ID that callers and backend servers see; the same on all VMs that handle it.
    pub id: Box<str>,
    /// Route, if one matched.
    pub route: RouteId,
    /// Service, if a route matched.
    pub service: ServiceId,
    /// Organisation; empty on public routes.
    pub organisation: OrganisationId,
    /// Kind of the refusal; none if the request was not refused by this VM.
    pub refusal: Option<RefusalKind>,
    /// Whether another VM forwarded the request to this one.
    pub forwarded: bool,
    /// Time from the head of the request to the head of the response.
    pub response_time: Duration,
    /// How the request ended for its caller.
    pub outcome: RequestOutcome,
    /// Time to the response head of the successful attempt; none if it ran on another VM or is
    /// unknown.
    pub attempt_time: Option<Duration>,
    /// Source of the response; none if this VM made it.
    pub responder: Option<Responder>,
    /// Span of the request; disabled if no route matched.
    pub span: Span,
}

impl RequestRecord {
    /// Creates the record of a request that has not been parsed yet.
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

    /// Sets the fields that come from the checked request.
    pub fn set_request(&mut self, call: &Call) {
        self.id = call.id.clone();
        self.route = call.route.clone();
        self.service = call.service.clone();
        self.organisation = call.organisation.clone();
        self.span = call.span.clone();
    }

    /// Sets the fields that describe how the request ended.
    pub fn set_result(&mut self, response: &Response<Body>, response_time: Duration) {
        self.response_time = response_time;
        self.outcome = match response_outcome(response.headers()) {
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
