use std::net::SocketAddr;

use kernel::{DomainId, Incarnation};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the messages; others are dropped.
const FORMAT: u8 = 1;

/// Why a datagram is dropped.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// It is of another version.
    #[error("the datagram has format {0}; this release knows format {FORMAT}")]
    Format(u8),
    /// It cannot be read.
    #[error("the datagram cannot be read: {0}")]
    Unreadable(#[from] postcard::Error),
}

/// Heartbeat of a VM, inside its failure domain and between homes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeatMessage {
    /// This process start.
    pub vm: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other VMs.
    pub peers: SocketAddr,
    /// Time since its start, in milliseconds.
    pub uptime_ms: u64,
    /// Capacity in hundredths of a core.
    pub power: u32,
    /// Term of its claim to be home; 0 is no claim.
    pub term: u64,
    /// Whether it is able to serve.
    pub able: bool,
    /// Version of its configuration; 0 is none.
    pub config: u64,
    /// Store version of its list of backend servers; 0 is none.
    pub backends: u64,
    /// Time since its knowledge was confirmed by the store, in milliseconds.
    pub confirmed_ms: u64,
    /// Whether its last call to the store failed.
    pub failing: bool,
}

/// Evidence about a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidencePart {
    /// Short hash of its id.
    pub backend: u32,
    /// Failures that it answered since the last message.
    pub failures: u8,
    /// Whole answers since the last failure.
    pub successes: u8,
}

/// Demand of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandPart {
    /// Short hash of its name.
    pub organisation: u32,
    /// Requests a second, in tenths.
    pub tenths: u32,
}

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Inside a failure domain.
    Beat(BeatMessage),
    /// Between homes; a standby that gets it passes it on to its home.
    Home(BeatMessage, Vec<DemandPart>),
    /// All demand of one VM, between homes.
    Demand(Incarnation, Vec<DemandPart>),
    /// The sender stops.
    Stop(Incarnation),
    /// Between homes.
    Evidence(Vec<EvidencePart>),
    /// A request on which backend servers died.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Deaths.
        deaths: u32,
    },
    /// Demand of one VM that has changed, between homes.
    DemandChange(Incarnation, Vec<DemandPart>),
}

/// Writes a datagram.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    // Writing to memory cannot fail for these types.
    postcard::to_extend(datagram, vec![FORMAT]).unwrap_or_default()
}

/// Reads a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => Ok(postcard::from_bytes(rest)?),
        Some((format, _)) => Err(DatagramError::Format(*format)),
        None => Err(DatagramError::Format(0)),
    }
}
