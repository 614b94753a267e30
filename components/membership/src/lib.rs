//! Failure detector of the VMs of the fleet.

mod apply;
mod compose;
mod gossip;
mod member;
mod membership;
mod message;
mod probe;
mod view;

pub use membership::{Membership, PERIOD, PINGS, suspicion};
pub use message::{
    MembershipAction, MembershipMessage, MessageKind, Peer, Status, Update, UpdateEntry,
};
