use std::error::Error;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use kernel::prelude::*;
use thiserror::Error;

/// Why the body of a response is incomplete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The backend server or VM that sent the body closed the connection before its end.
    #[error("response body truncated by its sender ({0}); the response is incomplete")]
    Truncated(#[source] Box<dyn Error + Send + Sync>),
    /// The sender paused for longer than the idle timeout.
    #[error("response body timed out waiting for its sender; the response is incomplete")]
    IdleTimeout,
}

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body that is entirely in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads the body of a request into memory.
///
/// Requests are buffered so that a request refused before its body is complete has certainly not
/// run, and so that a retry can send the same bytes.
pub async fn read_body<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, Refusal>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    let read = async {
        let mut body = std::pin::pin!(body);
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                Refusal::not_run(
                    RefusalKind::BadRequest,
                    format!("the request body cannot be read ({error}); send the complete body"),
                )
            })?;
            if let Ok(data) = frame.into_data() {
                if bytes.len() + data.len() > limit {
                    return Err(too_large(limit));
                }
                bytes.extend_from_slice(&data);
            }
        }
        Ok(bytes.freeze())
    };
    tokio::time::timeout(timeout, read).await.unwrap_or_else(|_| {
        Err(Refusal::not_run(
            RefusalKind::DeadlinePassed,
            "the deadline passed before the body had arrived; allow more time",
        ))
    })
}

fn too_large(limit: usize) -> Refusal {
    Refusal::not_run(
        RefusalKind::BodyTooLarge,
        format!("the body is larger than {limit} bytes; send it in parts"),
    )
}
