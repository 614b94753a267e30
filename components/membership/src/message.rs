use std::net::SocketAddr;
use std::time::Duration;

use kernel::{ConfigVersion, Incarnation, VmEntry};
use serde::{Deserialize, Serialize};

/// Where a message goes: an address and the process start that is expected there.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Peer {
    /// Process start.
    pub incarnation: Incarnation,
    /// Address for other VMs.
    pub address: SocketAddr,
}

/// What is known of a VM. Of two statements of one generation the later variant holds.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Answers.
    Alive,
    /// Did not answer one VM; can still refute.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Is leaving, or was replaced by a newer process of the same VM.
    Left,
}

/// Description of a VM, which only statements that it is alive carry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UpdateEntry {
    /// The VM.
    pub entry: VmEntry,
    /// Time since the start of its process, in milliseconds.
    pub up_ms: u64,
}

/// One statement about a VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Process start that it speaks of.
    pub incarnation: Incarnation,
    /// Raised by that process alone, to refute what others say of it.
    pub generation: u32,
    /// What is known.
    pub status: Status,
    /// Time since the status was first stated, in milliseconds.
    pub age_ms: u32,
    /// Description; present if the status is `Alive`.
    pub about: Option<UpdateEntry>,
}

/// Names and punctuation of an update in JSON, in bytes, with the longest numbers.
const UPDATE_BYTES: usize = 115;
/// The same of its description, with the longest addresses.
const ABOUT_BYTES: usize = 240;

impl Update {
    /// Upper bound of the size in JSON, in bytes.
    pub fn size(&self) -> usize {
        let about = self.about.as_ref().map_or(0, |a| {
            let place = &a.entry.place;
            ABOUT_BYTES + a.entry.vm.len() + place.region.len() + place.domain.len()
        });
        UPDATE_BYTES + about
    }
}

/// Job of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MessageKind {
    /// Asks the process start `to` for an `Ack`.
    Ping {
        /// Process start that is expected; another one at the address answers all the same.
        to: Incarnation,
    },
    /// Answers a `Ping` of the same number.
    Ack,
    /// Asks the receiver to ping `peer` and to send a `Relayed` when that answers.
    Request {
        /// The VM to ping.
        peer: Peer,
    },
    /// Answers a `Request` of the same number.
    Relayed {
        /// The VM that answered.
        incarnation: Incarnation,
    },
    /// Only carries updates.
    Hello,
}

/// A message between two VMs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MembershipMessage {
    /// Job.
    pub kind: MessageKind,
    /// Number that an answer repeats.
    pub seq: u64,
    /// Address of the sender for other VMs.
    pub address: SocketAddr,
    /// True if the sender does not know the receiver and asks it to introduce itself.
    pub unknown: bool,
    /// Configuration version of the sender.
    pub version: ConfigVersion,
    /// How long ago the sender had confirmation that no newer version exists; none if it never had.
    pub freshness: Option<Duration>,
    /// Time since the start of the sender's process, in milliseconds.
    #[serde(default)]
    pub up_ms: u64,
    /// Statements about VMs, bounded in number and bytes.
    pub updates: Vec<Update>,
}

/// What the failure detector wants done, or has found.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// To this VM.
        to: Peer,
        /// The message.
        message: Box<MembershipMessage>,
    },
    /// A VM was found, or one that was taken for dead lives.
    Joined {
        /// The VM.
        entry: VmEntry,
    },
    /// A VM does not answer; it is still in the live set.
    Suspected {
        /// Its process start.
        incarnation: Incarnation,
    },
    /// A suspect has refuted.
    Recovered {
        /// Its process start.
        incarnation: Incarnation,
    },
    /// A VM is taken for dead, or a newer process has taken its place.
    Died {
        /// Its process start.
        incarnation: Incarnation,
    },
    /// A VM is leaving; it may still answer.
    Left {
        /// Its process start.
        incarnation: Incarnation,
    },
}
