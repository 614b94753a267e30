use std::time::Duration;

use kernel::{ConfigVersion, EjectReason, Incarnation, OrganisationId, Place, VmId};
use serde::{Serialize, Serializer};

/// Selects what the status contains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StatusQuery {
    /// Organisations whose rate shares are returned; if empty, the shares that the VM itself holds.
    pub organisations: Vec<OrganisationId>,
}

/// State of the fleet as one VM knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// VM that reports the status.
    pub vm: VmId,
    /// Newest version that it knows.
    pub version: ConfigVersion,
    /// Whether the platform's table responded to the last request of this VM.
    pub store_reachable: bool,
    /// Live, leaving and silent VMs, including the reporting one.
    pub vms: Vec<VmStatus>,
    /// Ejected backend servers.
    pub ejections: Vec<Ejection>,
    /// Rate shares.
    pub rates: Vec<RateShares>,
}

/// State of a VM as observed by the reporting VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmLiveness {
    /// Running.
    Live,
    /// About to stop.
    Leaving,
    /// Does not respond to probes.
    Silent,
}

/// Status of one VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// Name.
    pub vm: VmId,
    /// Region and failure domain.
    pub place: Place,
    /// Incarnation, the number of its process start.
    pub incarnation: Incarnation,
    /// Observed state.
    #[serde(rename = "life")]
    pub liveness: VmLiveness,
    /// Version that is active on it; 0 if unknown.
    pub version: ConfigVersion,
    /// Time since it last confirmed that its version is the newest, if known.
    #[serde(rename = "freshness_ms", serialize_with = "optional_millis")]
    pub freshness: Option<Duration>,
}

/// An ejected backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Ejection {
    /// Service.
    pub service: Box<str>,
    /// Backend server.
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

/// Holders of the units of an organisation's rate.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RateShares {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Total number of units.
    pub total: u32,
    /// Units by holder; the rest of the total is free.
    pub shares: Vec<RateShare>,
}

/// Units held by one incarnation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RateShare {
    /// Incarnation that holds them.
    pub incarnation: Incarnation,
    /// VM of that incarnation; `None` if it is gone but its lease has not expired.
    pub vm: Option<VmId>,
    /// Number of units.
    pub units: u32,
}

/// Name of a reason in output for people and programs.
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

/// Whole milliseconds, saturating at `u64::MAX` (more than 500 million years).
pub(crate) fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
