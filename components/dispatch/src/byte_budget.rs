/// Bytes of request or response bodies that a VM holds at once.
///
/// Handles a burst of uploads, and backend servers that send without end: the sum over all requests
/// is bounded, so that a VM with little memory refuses a request in place of running out of memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ByteBudget {
    limit: usize,
    /// Never above `limit`.
    held: usize,
}

impl ByteBudget {
    /// An unused budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        ByteBudget { limit, held: 0 }
    }

    /// Takes bytes, all or none. Returns whether they were taken.
    pub fn take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.limit - self.held;
        if fits {
            self.held += bytes;
        }
        fits
    }

    /// Returns bytes that were taken.
    pub fn give_back(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Upper bound of the bytes held.
    pub fn limit(&self) -> usize {
        self.limit
    }
}
