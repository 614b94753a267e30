use config::Delta;
use kernel::EjectReason;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};

use crate::message::Parcel;

/// Changes of the configuration that a VM lacks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DeltasReply {
    /// Version in force on the VM that answers.
    pub version: ConfigVersion,
    /// Deltas in order, without gaps; empty if the VM keeps none that far back.
    pub deltas: Vec<Delta>,
}

/// A backend server that a VM holds ejected.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EjectReport {
    /// Service.
    pub service: ServiceId,
    /// Backend server.
    pub backend: BackendId,
    /// Reason.
    pub reason: EjectReason,
    /// Milliseconds since the ejection.
    pub since_ms: u64,
}

/// What a VM reports of itself to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmReport {
    /// Name of the VM.
    pub vm: VmId,
    /// Process start.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub place: Place,
    /// Version in force.
    pub version: ConfigVersion,
    /// Milliseconds since the version was confirmed to be the newest.
    pub fresh_ms: u64,
    /// Backend servers that the VM holds ejected.
    pub ejected: Vec<EjectReport>,
    /// Units of rights held, by kind and id.
    pub units: Vec<(Box<str>, Box<str>, u32)>,
}

/// Calls between VMs.
#[tarpc::service]
pub trait Peer {
    /// Delivers messages.
    async fn deliver(parcel: Parcel);
    /// Returns the changes after a version.
    async fn deltas(after: ConfigVersion) -> DeltasReply;
    /// Reports the state of the VM.
    async fn report() -> VmReport;
}
