use std::time::Duration;

use kernel::{EjectReason, Place};

use crate::explain::to_micros;
use crate::proto::explain_request::Query;
use crate::status::to_millis;
use crate::{
    Ejection, ExplainQuery, ExplainStep, Explanation, FieldError, OperatorError, RateShare,
    RateShares, Status, VmLiveness, VmStatus, proto,
};

/// Empty text on the wire stands for none.
fn optional(text: String) -> Option<Box<str>> {
    (!text.is_empty()).then(|| text.into())
}

fn text(optional: Option<Box<str>>) -> String {
    optional.map(Into::into).unwrap_or_default()
}

fn garbled(what: &str) -> OperatorError {
    let text = format!("the VM's answer has an unknown {what}; use a newer papayareel command");
    OperatorError::Internal(text.into())
}

impl From<Status> for proto::StatusResponse {
    fn from(status: Status) -> Self {
        proto::StatusResponse {
            vm: status.vm.into(),
            version: status.version,
            store_reachable: status.store_reachable,
            vms: status.vms.into_iter().map(write_vm).collect(),
            ejections: status.ejections.into_iter().map(write_ejection).collect(),
            rates: status.rates.into_iter().map(write_rate).collect(),
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
            vms: message.vms.into_iter().map(read_vm).collect::<Result<_, _>>()?,
            ejections: message
                .ejections
                .into_iter()
                .map(read_ejection)
                .collect::<Result<_, _>>()?,
            rates: message.rates.into_iter().map(read_rate).collect(),
        })
    }
}

fn write_vm(vm: VmStatus) -> proto::VmStatus {
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

fn read_vm(message: proto::VmStatus) -> Result<VmStatus, OperatorError> {
    let liveness = match message.state() {
        proto::VmState::Live => VmLiveness::Live,
        proto::VmState::Leaving => VmLiveness::Leaving,
        proto::VmState::Silent => VmLiveness::Silent,
        proto::VmState::Unspecified => return Err(garbled("state of a VM")),
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

fn write_ejection(ejection: Ejection) -> proto::Ejection {
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

fn read_ejection(message: proto::Ejection) -> Result<Ejection, OperatorError> {
    let reason = match message.reason() {
        proto::EjectReason::Stalled => EjectReason::Stalled,
        proto::EjectReason::Slow => EjectReason::Slow,
        proto::EjectReason::Failing => EjectReason::Failing,
        proto::EjectReason::Unspecified => return Err(garbled("reason of an ejection")),
    };
    Ok(Ejection {
        service: message.service.into(),
        backend: message.backend.into(),
        reason,
        since: Duration::from_millis(message.since_ms),
        vm: message.vm.into(),
    })
}

fn write_rate(rate: RateShares) -> proto::RateShares {
    let share = |share: RateShare| proto::RateShare {
        incarnation: share.incarnation,
        vm: text(share.vm),
        units: share.units,
    };
    proto::RateShares {
        organisation: rate.organisation.into(),
        total: rate.total,
        shares: rate.shares.into_iter().map(share).collect(),
    }
}

fn read_rate(message: proto::RateShares) -> RateShares {
    let share = |share: proto::RateShare| RateShare {
        incarnation: share.incarnation,
        vm: optional(share.vm),
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
                Query::Probe(proto::Probe { method, path, organisation: text(organisation) })
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
                    organisation: optional(organisation),
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
            route: text(explanation.route),
            service: text(explanation.service),
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
            route: optional(message.route),
            service: optional(message.service),
            outcome: message.outcome.into(),
            steps: message.steps.into_iter().map(step).collect(),
        }
    }
}
