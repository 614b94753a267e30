use std::time::Duration;

use kernel::{EjectReason, Place};

use crate::explain::to_micros;
use crate::proto::explain_request::Query;
use crate::status::to_millis;
use crate::{
    Ejection, ExplainQuery, ExplainStep, Explanation, FieldError, OperatorError, RateShare,
    RateShares, Status, VmLiveness, VmStatus, proto,
};

/// An empty string in a message means `None`.
fn decode_optional(text: String) -> Option<Box<str>> {
    (!text.is_empty()).then(|| text.into())
}

fn encode_optional(optional: Option<Box<str>>) -> String {
    optional.map(Into::into).unwrap_or_default()
}

fn invalid_response(what: &str) -> OperatorError {
    let text =
        format!("the response of the VM has an unknown {what}; use a newer papayareel command");
    OperatorError::Internal(text.into())
}

impl From<Status> for proto::StatusResponse {
    fn from(status: Status) -> Self {
        proto::StatusResponse {
            vm: status.vm.into(),
            version: status.version,
            store_reachable: status.store_reachable,
            vms: status.vms.into_iter().map(encode_vm).collect(),
            ejections: status.ejections.into_iter().map(encode_ejection).collect(),
            rates: status.rates.into_iter().map(encode_rate).collect(),
        }
    }
}

impl TryFrom<proto::StatusResponse> for Status {
    type Error = OperatorError;

    fn try_from(message: proto::StatusResponse) -> Result<Self, OperatorError> {
        Ok(Status {
            vm: message.vm.into(),
            version: message.version,
            store_reachable: message.store_reachable,
            vms: message.vms.into_iter().map(decode_vm).collect::<Result<_, _>>()?,
            ejections: message
                .ejections
                .into_iter()
                .map(decode_ejection)
                .collect::<Result<_, _>>()?,
            rates: message.rates.into_iter().map(decode_rate).collect(),
        })
    }
}

fn encode_vm(vm: VmStatus) -> proto::VmStatus {
    let state = match vm.liveness {
        VmLiveness::Live => proto::VmState::Live,
        VmLiveness::Leaving => proto::VmState::Leaving,
        VmLiveness::Silent => proto::VmState::Silent,
    };
    proto::VmStatus {
        vm: vm.vm.into(),
        region: vm.place.region.into(),
        domain: vm.place.domain.into(),
        incarnation: vm.incarnation,
        state: state.into(),
        version: vm.version,
        freshness_ms: vm.freshness.map(to_millis),
    }
}

fn decode_vm(message: proto::VmStatus) -> Result<VmStatus, OperatorError> {
    let liveness = match message.state() {
        proto::VmState::Live => VmLiveness::Live,
        proto::VmState::Leaving => VmLiveness::Leaving,
        proto::VmState::Silent => VmLiveness::Silent,
        proto::VmState::Unspecified => return Err(invalid_response("state of a VM")),
    };
    Ok(VmStatus {
        vm: message.vm.into(),
        place: Place { region: message.region.into(), domain: message.domain.into() },
        incarnation: message.incarnation,
        liveness,
        version: message.version,
        freshness: message.freshness_ms.map(Duration::from_millis),
    })
}

fn encode_ejection(ejection: Ejection) -> proto::Ejection {
    let reason = match ejection.reason {
        EjectReason::Stalled => proto::EjectReason::Stalled,
        EjectReason::Slow => proto::EjectReason::Slow,
        EjectReason::Failing => proto::EjectReason::Failing,
    };
    proto::Ejection {
        service: ejection.service.into(),
        backend: ejection.backend.into(),
        reason: reason.into(),
        since_ms: to_millis(ejection.since),
        vm: ejection.vm.into(),
    }
}

fn decode_ejection(message: proto::Ejection) -> Result<Ejection, OperatorError> {
    let reason = match message.reason() {
        proto::EjectReason::Stalled => EjectReason::Stalled,
        proto::EjectReason::Slow => EjectReason::Slow,
        proto::EjectReason::Failing => EjectReason::Failing,
        proto::EjectReason::Unspecified => return Err(invalid_response("reason of an ejection")),
    };
    Ok(Ejection {
        service: message.service.into(),
        backend: message.backend.into(),
        reason,
        since: Duration::from_millis(message.since_ms),
        vm: message.vm.into(),
    })
}

fn encode_rate(rate: RateShares) -> proto::RateShares {
    let share = |share: RateShare| proto::RateShare {
        incarnation: share.incarnation,
        vm: encode_optional(share.vm),
        units: share.units,
    };
    proto::RateShares {
        organisation: rate.organisation.into(),
        total: rate.total,
        shares: rate.shares.into_iter().map(share).collect(),
    }
}

fn decode_rate(message: proto::RateShares) -> RateShares {
    let share = |share: proto::RateShare| RateShare {
        incarnation: share.incarnation,
        vm: decode_optional(share.vm),
        units: share.units,
    };
    RateShares {
        organisation: message.organisation.into(),
        total: message.total,
        shares: message.shares.into_iter().map(share).collect(),
    }
}

impl From<ExplainQuery> for proto::ExplainRequest {
    fn from(query: ExplainQuery) -> Self {
        let query = match query {
            ExplainQuery::RequestId(id) => Query::RequestId(id.into()),
            ExplainQuery::Hypothetical { method, path, organisation } => {
                let (method, path) = (method.into(), path.into());
                Query::Probe(proto::Probe {
                    method,
                    path,
                    organisation: encode_optional(organisation),
                })
            }
        };
        proto::ExplainRequest { query: Some(query) }
    }
}

impl TryFrom<proto::ExplainRequest> for ExplainQuery {
    type Error = FieldError;

    fn try_from(message: proto::ExplainRequest) -> Result<Self, FieldError> {
        match message.query {
            Some(Query::RequestId(id)) => Ok(ExplainQuery::RequestId(id.into())),
            Some(Query::Probe(proto::Probe { method, path, organisation })) => {
                let (method, path) = (method.into(), path.into());
                Ok(ExplainQuery::Hypothetical {
                    method,
                    path,
                    organisation: decode_optional(organisation),
                })
            }
            None => Err(FieldError::new("query", "nothing to explain; set request_id or probe")),
        }
    }
}

impl From<Explanation> for proto::ExplainResponse {
    fn from(explanation: Explanation) -> Self {
        let step = |step: ExplainStep| proto::ExplainStep {
            after_us: step.after.map(to_micros),
            vm: step.vm.into(),
            text: step.text.into(),
        };
        proto::ExplainResponse {
            route: encode_optional(explanation.route),
            service: encode_optional(explanation.service),
            outcome: explanation.outcome.into(),
            steps: explanation.steps.into_iter().map(step).collect(),
        }
    }
}

impl From<proto::ExplainResponse> for Explanation {
    fn from(message: proto::ExplainResponse) -> Self {
        let step = |step: proto::ExplainStep| ExplainStep {
            after: step.after_us.map(Duration::from_micros),
            vm: step.vm.into(),
            text: step.text.into(),
        };
        Explanation {
            route: decode_optional(message.route),
            service: decode_optional(message.service),
            outcome: message.outcome.into(),
            steps: message.steps.into_iter().map(step).collect(),
        }
    }
}
