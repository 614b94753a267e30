//! Versioned messages between the VMs of the fleet, over tarpc.

mod client;
mod handshake;
mod message;
mod server;
mod service;

pub use client::{PeerError, Peers};
pub use handshake::{HandshakeError, Random};
pub use message::{Message, MessageError, Parcel, RawMessage};
pub use server::{Handler, serve};
pub use service::{DeltasReply, EjectReport, VmReport};
