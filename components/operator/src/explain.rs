use std::time::Duration;

use kernel::{OrganisationId, RouteId, ServiceId, VmId};
use serde::{Serialize, Serializer};

/// What is to be explained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExplainQuery {
    /// A request that the VM has seen, by its `x-request-id`.
    RequestId(Box<str>),
    /// A request that could be made.
    Hypothetical {
        /// Method.
        method: Box<str>,
        /// Path.
        path: Box<str>,
        /// Organisation that it would run for.
        organisation: Option<OrganisationId>,
    },
}

/// What became or would become of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Route that takes it.
    pub route: Option<RouteId>,
    /// Service that runs it.
    pub service: Option<ServiceId>,
    /// How it ended or would end, such as `answered` or `rate-exceeded (not-run)`.
    pub outcome: Box<str>,
    /// What led to it, in order.
    pub steps: Vec<ExplainStep>,
}

/// One step.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ExplainStep {
    /// Time since the request arrived, in whole microseconds; none if it was not made.
    #[serde(rename = "after_us", serialize_with = "micros")]
    pub after: Option<Duration>,
    /// VM that took the step.
    pub vm: VmId,
    /// What was decided and why.
    pub text: Box<str>,
}

/// Whole microseconds; times beyond 500,000 years are cut.
pub(crate) fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn micros<S: Serializer>(time: &Option<Duration>, s: S) -> Result<S::Ok, S::Error> {
    time.map(to_micros).serialize(s)
}
