//! Membership and failure detection of the fleet's VMs, after the SWIM protocol.

mod apply;
mod compose;
mod gossip;
mod member;
mod membership;
mod message;
mod probe;
mod view;

pub use membership::{Membership, PINGS_PER_PERIOD, PROTOCOL_PERIOD, suspicion_timeout};
pub use message::{
    MemberStatus, MembershipAction, MembershipMessage, MessageKind, PeerAddress, Update,
    VmDescription,
};
