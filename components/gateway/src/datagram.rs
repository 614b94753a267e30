use std::net::SocketAddr;

use kernel::{DomainId, Incarnation, OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the encoding; datagrams of other versions are dropped.
const FORMAT_VERSION: u8 = 1;

/// Why a datagram cannot be decoded.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// It has another version of the encoding.
    #[error("the datagram has format {0}; this release knows format {FORMAT_VERSION}")]
    UnsupportedVersion(u8),
    /// Its content is malformed.
    #[error("the datagram cannot be read: {0}")]
    Unreadable(#[from] postcard::Error),
}

/// Heartbeat of a VM, sent inside its failure domain and between leaders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Identifies the process of the sender; new at each start.
    #[serde(rename = "vm")]
    pub incarnation: Incarnation,
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other VMs.
    pub peers: SocketAddr,
    /// Time since the sender started.
    pub uptime_ms: u64,
    /// Processing capacity in hundredths of a core.
    #[serde(rename = "power")]
    pub capacity_percent: u32,
    /// Term of its claim to be the leader; 0 without a claim.
    pub term: u64,
    /// Whether the sender can become the leader.
    #[serde(rename = "able")]
    pub eligible: bool,
    /// Version of its configuration; 0 without one.
    #[serde(rename = "config")]
    pub config_version: u64,
    /// Version of its list of backend servers; 0 without one.
    #[serde(rename = "backends")]
    pub backends_version: u64,
    /// Time since the store last confirmed its configuration and list of backend servers.
    pub confirmed_ms: u64,
    /// Whether its last call to the store failed.
    #[serde(rename = "failing")]
    pub store_failing: bool,
}

/// Evidence about a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendEvidence {
    /// Short hash of the backend server's id.
    pub backend: u32,
    /// Failed responses since the last message.
    pub failures: u8,
    /// Successes since the last failure.
    pub successes: u8,
}

/// Request rate of an organisation at one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationDemand {
    /// Short hash of the organisation's id.
    pub organisation: u32,
    /// Requests per second, in tenths.
    pub tenths: u32,
}

/// What a backend server has said about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendNotice {
    /// Short hash of the backend server's id.
    pub backend: u32,
    /// Its start time in Unix milliseconds.
    pub started_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Rest of the pause that it has asked for; 0 without one.
    pub pause_ms: u64,
}

/// What a backend server has said about its request limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Short hash of the backend server's id.
    pub backend: u32,
    /// Its start time in Unix milliseconds.
    pub started_ms: u64,
    /// Requests per second from all VMs together; `None` if it no longer names a limit.
    pub limit: Option<f64>,
    /// Time since the request was sent whose response said so.
    pub sent_ms: u64,
    /// Time since that response was received.
    pub received_ms: u64,
}

/// Crash of a backend server while it ran a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Short hash of the backend server's id.
    pub backend: u32,
    /// Its start time in Unix milliseconds.
    pub started_ms: u64,
    /// Time since the crash was noticed.
    pub age_ms: u64,
    /// Whether the request has had a complete response since.
    pub cleared: bool,
}

/// A request that waits on the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitingRequest {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Time for which it is still worth starting.
    pub left_ms: u32,
}

/// Asks the owner of request limits for permits to send requests to its backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// VM that asks.
    pub vm: Incarnation,
    /// Its address for the permits.
    pub reply: SocketAddr,
    /// Its uptime, which the permits repeat.
    pub stamp_ms: u64,
    /// Service of the requests.
    pub service: ServiceId,
    /// Requests that wait for a backend server.
    pub waiting: Vec<WaitingRequest>,
    /// Whether a VM that is not the owner has passed it on.
    pub forwarded: bool,
}

/// Asks the leader of the failure domain for leave to run a request within a rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Identifies the request on the VM that asks.
    pub id: u64,
    /// Address of that VM for the response.
    pub reply: SocketAddr,
    /// Organisation of the request.
    pub organisation: OrganisationId,
    /// Whether a VM that is not the leader has passed it on.
    pub forwarded: bool,
}

/// One start of a backend server: the short hash of its id, and its start time in Unix milliseconds.
pub type StartId = (u32, u64);

/// A message between two VMs. The encoding depends on the order of variants and fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Heartbeat between VMs of a failure domain, or of a starting VM to its seeds.
    #[serde(rename = "Beat")]
    Heartbeat(HeartbeatMessage),
    /// Heartbeat and demand of a leader to the other leaders; a standby forwards it to its leader.
    #[serde(rename = "Home")]
    LeaderHeartbeat(HeartbeatMessage, Vec<OrganisationDemand>),
    /// All demand of one VM, sent to leaders.
    Demand(Incarnation, Vec<OrganisationDemand>),
    /// The sender is stopping.
    Stop(Incarnation),
    /// Evidence about backend servers, sent to leaders.
    Evidence(Vec<BackendEvidence>),
    /// A request that crashed backend servers, from older releases. Ignored: numbers of crashes
    /// that two VMs have noticed cannot be added, since some may be the same.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Number of backend servers that it crashed.
        #[serde(rename = "deaths")]
        crashes: u32,
    },
    /// Changed demand of one VM, sent to leaders.
    DemandChange(Incarnation, Vec<OrganisationDemand>),
    /// What backend servers have said about themselves, sent inside a failure domain and, if they
    /// are leaving, to the leaders.
    Notices(Vec<BackendNotice>),
    /// Request limits, sent inside a failure domain and to the leaders.
    Limits(Vec<LimitNotice>),
    /// Asks for permits.
    PermitRequest(PermitRequest),
    /// A permit for each start of a backend server to send it one request.
    Permits {
        /// Stamp of the request for permits.
        stamp_ms: u64,
        /// Backend servers, one entry for each permit.
        starts: Vec<StartId>,
    },
    /// Permits that the sender does not use.
    UnusedPermits(Vec<StartId>),
    /// Crashes of backend servers while they ran requests.
    Crashes(Vec<CrashNotice>),
    /// Asks for a token of a rate.
    TokenRequest(TokenRequest),
    /// Response to a request for a token.
    Token {
        /// Id of the request.
        id: u64,
        /// Time until the next token is expected if there is none now.
        refused_ms: Option<u64>,
    },
    /// Retries of the sender to charge to rates, less the tokens that it returns.
    Charges(Vec<(OrganisationId, i32)>),
}

/// Encodes a datagram.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    // Encoding these types into memory cannot fail.
    postcard::to_extend(datagram, vec![FORMAT_VERSION]).unwrap_or_default()
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
    match bytes.split_first() {
        Some((&FORMAT_VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        Some((format, _)) => Err(DatagramError::UnsupportedVersion(*format)),
        None => Err(DatagramError::UnsupportedVersion(0)),
    }
}
