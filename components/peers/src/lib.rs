//! Versioned messages between the VMs of the fleet, over tarpc.

mod client;
mod handshake;
mod message;
mod server;
mod service;

pub use client::{PeerError, Peers};
pub use handshake::{HandshakeError, RandomSource};
pub use message::{Message, MessageBatch, MessageError, RawMessage};
pub use server::{PeerCalls, serve};
pub use service::{DeltasReply, EjectedBackend, VmReport};
