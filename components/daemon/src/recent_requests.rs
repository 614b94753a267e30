use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use kernel::prelude::*;
use operator::{ExplainStep, Explanation};
use proxy::{RequestRecord, Responder};
use telemetry::RequestOutcome;

/// Maximum number of requests kept, so that memory does not grow with the traffic.
const MAX_REQUESTS: usize = 1024;

/// What is kept of a request. It contains no key.
#[derive(Clone, Debug)]
struct RequestEntry {
    id: Box<str>,
    route: RouteId,
    service: ServiceId,
    organisation: OrganisationId,
    forwarded: bool,
    refusal: Option<RefusalKind>,
    outcome: RequestOutcome,
    responder: Option<Responder>,
    took: Duration,
    attempt: Option<Duration>,
    /// When the head of its response was ready.
    ended_at: Uptime,
}

/// The last requests of this VM.
#[derive(Debug, Default)]
pub struct RecentRequests {
    /// Oldest first. At most [`MAX_REQUESTS`].
    requests: Mutex<VecDeque<RequestEntry>>,
}

impl RecentRequests {
    /// Adds a finished request.
    pub fn add(&self, now: Uptime, record: &RequestRecord) {
        if record.route.is_empty() && record.refusal.is_none() {
            // Resolve requests are not kept, because callers send them all the time.
            return;
        }
        let entry = RequestEntry {
            id: record.id.clone(),
            route: record.route.clone(),
            service: record.service.clone(),
            organisation: record.organisation.clone(),
            forwarded: record.forwarded,
            refusal: record.refusal,
            outcome: record.outcome,
            responder: record.responder.clone(),
            took: record.response_time,
            attempt: record.attempt_time,
            ended_at: now,
        };
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        if requests.len() == MAX_REQUESTS {
            requests.pop_front();
        }
        requests.push_back(entry);
    }

    /// Explains the request with this id, if it is still kept. A request that came to this VM twice,
    /// because the next VM sent it back, is explained in two parts.
    pub fn explain(&self, now: Uptime, vm: &str, id: &str) -> Option<Explanation> {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        let parts: Vec<&RequestEntry> = requests.iter().filter(|entry| &*entry.id == id).collect();
        // The part that came from the caller ends last.
        let last = parts.last()?;
        Some(Explanation {
            route: non_empty(&last.route),
            service: non_empty(&last.service),
            outcome: last.outcome_text(),
            steps: parts.iter().rev().flat_map(|entry| entry.steps(now, vm)).collect(),
        })
    }
}

fn non_empty(name: &str) -> Option<Box<str>> {
    (!name.is_empty()).then(|| name.into())
}

impl RequestEntry {
    fn outcome_text(&self) -> Box<str> {
        let outcome = self.outcome.as_str();
        match self.refusal {
            Some(kind) => format!("{kind} ({outcome})").into(),
            None => outcome.into(),
        }
    }

    fn steps(&self, now: Uptime, vm: &str) -> Vec<ExplainStep> {
        let step = |after, text: String| ExplainStep {
            after: Some(after),
            vm: vm.into(),
            text: text.into(),
        };
        let from = if self.forwarded { "another VM" } else { "its caller" };
        let age = now.saturating_sub(self.ended_at) + self.took;
        let age_s = age.as_secs_f64();
        let organisation_text = match &*self.organisation {
            "" => "for no organisation".to_owned(),
            organisation => format!("for organisation {organisation}"),
        };
        let mut steps = vec![step(
            Duration::ZERO,
            format!("came from {from} {age_s:.1} s ago, {organisation_text}"),
        )];
        match &self.responder {
            Some(Responder::Backend(backend)) => {
                let sent = self.took.saturating_sub(self.attempt.unwrap_or_default());
                steps.push(step(sent, format!("sent to backend server {backend}")));
            }
            Some(Responder::Vm(other)) => {
                let text = format!("forwarded to VM {other}, which answered; ask it for more");
                steps.push(step(Duration::ZERO, text));
            }
            None => {}
        }
        steps.push(step(self.took, format!("response began: {}", self.outcome_text())));
        steps
    }
}
