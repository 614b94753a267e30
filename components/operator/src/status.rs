use std::time::Duration;

use kernel::{ConfigVersion, EjectReason, Incarnation, OrganisationId, Place, VmId};
use serde::{Serialize, Serializer};

/// What the status should tell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StatusQuery {
    /// Organisations whose rate shares are wanted; none asks for those that the VM holds itself.
    pub organisations: Vec<OrganisationId>,
}

/// State of the fleet as one VM knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// VM that answers.
    pub vm: VmId,
    /// Newest version that it knows.
    pub version: ConfigVersion,
    /// Whether the platform's table answered its last request.
    pub store_reachable: bool,
    /// VMs that are live or leaving, itself included.
    pub vms: Vec<VmStatus>,
    /// Ejected backend servers.
    pub ejections: Vec<Ejection>,
    /// Rate shares.
    pub rates: Vec<RateShares>,
}

/// State of a VM as another one sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmLiveness {
    /// Runs.
    Live,
    /// Is about to stop.
    Leaving,
    /// Does not answer probes.
    Silent,
}

/// A VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// Name.
    pub vm: VmId,
    /// Where it runs.
    pub place: Place,
    /// Number of its process start.
    pub incarnation: Incarnation,
    /// State.
    #[serde(rename = "life")]
    pub liveness: VmLiveness,
    /// Version that it has in force; 0 if it is not known.
    pub version: ConfigVersion,
    /// Time since it had confirmation of the newest version, if known.
    #[serde(rename = "freshness_ms", serialize_with = "optional_millis")]
    pub freshness: Option<Duration>,
}

/// An ejected backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Ejection {
    /// Service.
    pub service: Box<str>,
    /// OperatorHandler server.
    pub backend: Box<str>,
    /// Reason.
    #[serde(serialize_with = "reason")]
    pub reason: EjectReason,
    /// Time since the ejection.
    #[serde(rename = "since_ms", serialize_with = "millis")]
    pub since: Duration,
    /// VM that ejected it.
    pub vm: VmId,
}

/// Who holds the units of an organisation's rate.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RateShares {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Units in all.
    pub total: u32,
    /// Units by holder; what is missing from the total is free.
    pub shares: Vec<RateShare>,
}

/// Units of one holder.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RateShare {
    /// Process start that holds them.
    pub incarnation: Incarnation,
    /// VM of that process start; none if it is gone and its lease has not run out.
    pub vm: Option<VmId>,
    /// Units.
    pub units: u32,
}

/// Name of a reason for people and programs.
pub fn eject_reason_name(reason: EjectReason) -> &'static str {
    match reason {
        EjectReason::Stalled => "stalled",
        EjectReason::Slow => "slow",
        EjectReason::Failing => "failing",
    }
}

fn reason<S: Serializer>(reason: &EjectReason, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(eject_reason_name(*reason))
}

fn millis<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(to_millis(*time))
}

fn optional_millis<S: Serializer>(time: &Option<Duration>, s: S) -> Result<S::Ok, S::Error> {
    time.map(to_millis).serialize(s)
}

/// Whole milliseconds; times beyond 500 million years are cut.
pub(crate) fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
