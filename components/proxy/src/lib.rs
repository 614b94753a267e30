//! HTTP from callers, between VMs and to backend servers.

mod answer;
mod attempt;
mod body;
mod call;
mod caller_io;
mod counted;
mod engine;
mod entry;
mod executor;
mod fleet;
mod forward;
mod framing;
mod headers;
mod home;
mod link;
mod pool;
mod prefixed;
mod record;
mod run;
mod server;
mod slot;

pub use attempt::reaches;
pub use body::{Body, BodyError, full};
pub use call::Call;
pub use engine::{Engine, EngineOptions};
pub use fleet::Fleet;
pub use headers::{
    DEADLINE_HEADER, ENTRY_PATH, FORWARD_HEADER, IDEMPOTENCY_HEADER, KEY_HEADER, OUTCOME_HEADER,
    PROOF_HEADER, REQUEST_ID_HEADER,
};
pub use home::{Home, HomeOptions};
pub use record::{Answerer, RequestRecord};
pub use server::{ServerOptions, serve};
