//! Request path of a VM: serves callers, forwards requests between VMs and sends them to backend
//! servers with retries and hedges.

mod active_requests;
mod attempt;
mod body;
mod call;
mod caller_connection;
mod caller_stream;
mod engine;
mod fleet;
mod forward;
mod forwarded_body;
mod headers;
mod idempotency;
mod pool;
mod prefixed_body;
mod record;
mod refusal_response;
mod resolve;
mod response_body;
mod retries;
mod scheduler;
mod server;
mod slot;
mod vm_connection;

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
