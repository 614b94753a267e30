//! HTTP/1.1 connections to backend servers, which may send anything.

mod backend_stream;
mod connection;

pub use connection::{HttpConnection, MAX_BUFFER_BYTES, SendFailure};
