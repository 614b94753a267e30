//! Starts fleets of processes on loopback for the demo and the tests; not shipped.

mod caller;
mod fleet;
mod gateway;
mod layout;
mod loopback_net;
mod observe;
mod process;
mod programs;
/// Lets a program start copies of itself as the processes of a fleet.
pub mod reexec;
mod response_kind;
mod sample_config;

pub use caller::{Caller, HttpResponse, send_request};
pub use fleet::{Fleet, OPERATOR_TOKEN, raw_fleet};
pub use gateway::{
    GATEWAY_HOST, GATEWAY_KEY, GatewayFleet, gateway_request, gateway_request_on, wait_until,
};
pub use layout::{BackendLayout, FleetLayout, VmLayout};
pub use loopback_net::LoopbackNet;
pub use process::{Process, memory_bytes};
pub use programs::Programs;
pub use response_kind::ResponseKind;
pub use sample_config::{KEY, KEY_TO_WITHDRAW, RESTRICTED_KEY, sample_changes, sample_layout};
