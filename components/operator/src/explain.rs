use std::time::Duration;

use kernel::{OrganisationId, RouteId, ServiceId, VmId};
use serde::{Serialize, Serializer};

/// Request to explain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExplainQuery {
    /// A request that the VM has handled, by its `x-request-id`.
    RequestId(Box<str>),
    /// A request that has not been sent.
    Hypothetical {
        /// Method.
        method: Box<str>,
        /// Path.
        path: Box<str>,
        /// Organisation that it would be accounted to.
        organisation: Option<OrganisationId>,
    },
}

/// How a request was handled or would be handled.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Route that matches it.
    pub route: Option<RouteId>,
    /// Service that runs it.
    pub service: Option<ServiceId>,
    /// How it ended or would end, such as `answered` or `rate-exceeded (not-run)`.
    pub outcome: Box<str>,
    /// Steps that led to the outcome, in order.
    pub steps: Vec<ExplainStep>,
}

/// One step in the handling of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ExplainStep {
    /// Time since the request arrived, in whole microseconds; `None` if it was not sent.
    #[serde(rename = "after_us", serialize_with = "micros")]
    pub after: Option<Duration>,
    /// VM that executed the step.
    pub vm: VmId,
    /// The decision and its reason.
    pub text: Box<str>,
}

/// Whole microseconds, saturating at `u64::MAX` (more than 500,000 years).
pub(crate) fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn micros<S: Serializer>(time: &Option<Duration>, s: S) -> Result<S::Ok, S::Error> {
    time.map(to_micros).serialize(s)
}
