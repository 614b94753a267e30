use std::error::Error;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use kernel::prelude::*;
use thiserror::Error;

/// Why the body of a response ended before its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The backend server or the VM that the body came from broke off.
    #[error("the body was cut short at its source ({0}); the response is not complete")]
    Truncated(#[source] Box<dyn Error + Send + Sync>),
    /// The sender paused for too long.
    #[error("the body stopped arriving from its source; the response is not complete")]
    IdleTimeout,
}

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body that is in memory as a whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads the whole body of a request.
///
/// Requests are buffered so that a refusal before the body is complete is truly not run, and so
/// that a retry can send the same bytes.
pub async fn collect<B>(body: B, limit: usize, wait: Duration) -> Result<Bytes, Refusal>
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
                    format!("the body cannot be read ({error}); send it whole"),
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
    tokio::time::timeout(wait, read).await.unwrap_or_else(|_| {
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
