//! HTTP/1.1 connections to backend servers, which may send anything, and the receiving side of those
//! of callers.

mod backend_stream;
mod body_end;
mod connection;
mod message_bounds;
mod read_ahead;

pub use body_end::BodyEnd;
pub use connection::{HttpConnection, MAX_BUFFER_BYTES, ResponseError, SendFailure};
pub use message_bounds::MessageBounds;
pub use read_ahead::{ReadAhead, discard_rest, has_arrivals};
