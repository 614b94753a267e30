use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use dispatch::ByteBudget;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is larger than one body may be.
    #[error("the body has more than {limit} bytes")]
    TooLarge {
        /// Upper bound in bytes.
        limit: usize,
    },
    /// The bodies that this VM holds leave no room for it.
    #[error("this VM holds {held} bytes of other bodies and has no room for this one")]
    NoRoom {
        /// Bytes held by other bodies.
        held: usize,
    },
    /// The connection broke, or the body was truncated or malformed.
    #[error("the body was cut: {0}")]
    Truncated(#[from] hyper::Error),
}

/// Bodies that are held at once, and how large one of them may be.
#[derive(Clone, Debug)]
pub struct BodyStore {
    budget: Arc<Mutex<ByteBudget>>,
    /// Bytes of each body that are not counted. Small bodies are always read, whatever large ones
    /// take up.
    uncounted: usize,
}

/// Bytes taken from a budget, given back on drop.
#[derive(Debug)]
struct HeldBytes {
    budget: Arc<Mutex<ByteBudget>>,
    bytes: usize,
}

impl HeldBytes {
    /// Takes more bytes, so that `bytes` are held.
    fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        let more = bytes.saturating_sub(self.bytes);
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.take(more) {
            return Err(BodyError::NoRoom { held: budget.held() });
        }
        self.bytes += more;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).give_back(self.bytes);
    }
}

/// A complete body, which gives its bytes back when its last user drops it.
struct HeldBody {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyStore {
    /// A store of `limit` bytes, which do not include the first `uncounted` bytes of each body.
    pub fn new(limit: usize, uncounted: usize) -> Self {
        BodyStore { budget: Arc::new(Mutex::new(ByteBudget::new(limit))), uncounted }
    }

    /// Bytes that all bodies together may hold.
    pub fn limit(&self) -> usize {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).limit()
    }

    /// Reads a complete body of at most `max_bytes`. A body that states its length is rejected
    /// before it is read if there is no room.
    pub async fn read(
        &self,
        mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        let mut held = HeldBytes { budget: Arc::clone(&self.budget), bytes: 0 };
        let stated = body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
        if stated.is_some_and(|length| length > max_bytes) {
            return Err(BodyError::TooLarge { limit: max_bytes });
        }
        held.grow(stated.unwrap_or(0).saturating_sub(self.uncounted))?;
        let mut read = BytesMut::with_capacity(stated.unwrap_or(0));
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            if read.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge { limit: max_bytes });
            }
            held.grow((read.len() + data.len()).saturating_sub(self.uncounted))?;
            read.extend_from_slice(&data);
        }
        if held.bytes == 0 {
            return Ok(read.freeze());
        }
        Ok(Bytes::from_owner(HeldBody { bytes: read.freeze(), _held: held }))
    }
}
