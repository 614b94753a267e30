use config::Delta;
use kernel::EjectReason;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};

use crate::message::MessageBatch;

/// Configuration changes after a version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DeltasReply {
    /// Version in force on the responding VM.
    pub version: ConfigVersion,
    /// Deltas in order, without gaps; empty if the VM does not keep deltas back to that version.
    pub deltas: Vec<Delta>,
}

/// A backend server that a VM has ejected.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EjectedBackend {
    /// Service.
    pub service: ServiceId,
    /// Backend server.
    pub backend: BackendId,
    /// Reason of the ejection.
    pub reason: EjectReason,
    /// Milliseconds since the ejection.
    pub since_ms: u64,
}

/// State of a VM, shown to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmReport {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Region and failure domain.
    pub place: Place,
    /// Configuration version in force.
    pub version: ConfigVersion,
    /// Milliseconds since the version was last confirmed as the newest.
    pub fresh_ms: u64,
    /// Backend servers that the VM has ejected.
    pub ejected: Vec<EjectedBackend>,
    /// Units of rights held, by kind and id.
    pub units: Vec<(Box<str>, Box<str>, u32)>,
}

/// Calls between VMs.
#[tarpc::service]
pub trait Peer {
    /// Delivers a batch of messages.
    async fn deliver(parcel: MessageBatch);
    /// Returns the configuration changes after a version.
    async fn deltas(after: ConfigVersion) -> DeltasReply;
    /// Returns the state of the VM.
    async fn report() -> VmReport;
}
