//! HTTP from callers, between VMs and to backend servers.

mod answer;
mod attempt;
mod body;
mod call;
mod caller_io;
mod counted;
mod engine;
mod executor;
mod fleet;
mod forward;
mod framing;
mod headers;
mod link;
mod pool;
mod prefixed;
mod record;
mod resolve;
mod run;
mod scheduler;
mod server;
mod slot;

pub use attempt::is_reachable;
pub use body::{Body, BodyError, full};
pub use call::Call;
pub use engine::{Engine, EngineOptions};
pub use fleet::Fleet;
pub use headers::{
    DEADLINE_HEADER, FORWARD_HEADER, IDEMPOTENCY_HEADER, KEY_HEADER, OUTCOME_HEADER, PROOF_HEADER,
    REQUEST_ID_HEADER, RESOLVE_PATH,
};
pub use record::{RequestRecord, Responder};
pub use scheduler::{SchedulerOptions, ServiceScheduler};
pub use server::{ServerOptions, serve};
