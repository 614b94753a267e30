use std::net::SocketAddr;
use std::time::Duration;

use kernel::{ConfigVersion, Incarnation, VmEntry};
use serde::{Deserialize, Serialize};

/// Destination of a message: an address and the incarnation expected there.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Process start.
    pub incarnation: Incarnation,
    /// Address for other VMs.
    pub address: SocketAddr,
}

/// Status of a VM. Of two updates with the same generation, the later variant wins.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// Responds.
    Alive,
    /// Did not respond to a VM; can still refute.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Is leaving, or was replaced by a newer process of the same VM.
    Left,
}

/// Description of a VM, carried only by updates with the status `Alive`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmDescription {
    /// The VM.
    pub entry: VmEntry,
    /// Time since the start of its process, in milliseconds.
    pub up_ms: u64,
}

/// Status of a VM, as sent to others.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Process start that the update is about.
    pub incarnation: Incarnation,
    /// Raised by that process alone, to refute updates of others about it.
    pub generation: u32,
    /// Status of that process.
    pub status: MemberStatus,
    /// Time since the status was first stated, in milliseconds.
    pub age_ms: u32,
    /// Description; present if the status is `Alive`.
    pub about: Option<VmDescription>,
}

/// JSON size of an update without its description, with the longest numbers.
const UPDATE_OVERHEAD_BYTES: usize = 115;
/// JSON size of a description without its names, with the longest addresses.
const DESCRIPTION_OVERHEAD_BYTES: usize = 240;

impl Update {
    /// Upper bound of the JSON size in bytes.
    pub fn max_bytes(&self) -> usize {
        let about = self.about.as_ref().map_or(0, |a| {
            let place = &a.entry.place;
            DESCRIPTION_OVERHEAD_BYTES + a.entry.vm.len() + place.region.len() + place.domain.len()
        });
        UPDATE_OVERHEAD_BYTES + about
    }
}

/// Purpose of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MessageKind {
    /// Asks the process start `to` for an `Ack`.
    Ping {
        /// Process start that is expected; another one at the same address responds as well.
        to: Incarnation,
    },
    /// Response to the `Ping` with the same sequence number.
    Ack,
    /// Indirect ping: asks the receiver to ping `peer` and to send a `Relayed` on its ack.
    Request {
        /// The VM to ping.
        peer: PeerAddress,
    },
    /// Response to the `Request` with the same sequence number.
    Relayed {
        /// The VM that sent the ack.
        incarnation: Incarnation,
    },
    /// Only carries updates.
    Hello,
}

/// A message between two VMs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MembershipMessage {
    /// Purpose.
    pub kind: MessageKind,
    /// Sequence number, repeated in the response.
    pub seq: u64,
    /// Address of the sender for other VMs.
    pub address: SocketAddr,
    /// Whether the sender does not know the receiver and asks for its description.
    pub unknown: bool,
    /// Configuration version of the sender.
    pub version: ConfigVersion,
    /// How long ago the sender had confirmation that no newer version exists; none if it never had.
    pub freshness: Option<Duration>,
    /// Time since the start of the sender's process, in milliseconds.
    #[serde(default)]
    pub up_ms: u64,
    /// Updates about VMs, limited in number and size.
    pub updates: Vec<Update>,
}

/// Message to send, or change in the membership that the failure detector found.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// Destination.
        to: PeerAddress,
        /// The message.
        message: Box<MembershipMessage>,
    },
    /// A VM was found, or one that counted as dead is alive.
    Joined {
        /// The VM.
        entry: VmEntry,
    },
    /// A VM does not respond; it is still in the live set.
    Suspected {
        /// Its process start.
        incarnation: Incarnation,
    },
    /// A suspect has refuted the suspicion.
    Recovered {
        /// Its process start.
        incarnation: Incarnation,
    },
    /// A VM counts as dead, or was replaced by a newer process.
    Died {
        /// Its process start.
        incarnation: Incarnation,
    },
    /// A VM is leaving; it may still respond.
    Left {
        /// Its process start.
        incarnation: Incarnation,
    },
}
