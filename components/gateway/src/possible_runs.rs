use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// The times that a request may have run on backend servers, or may still run. Clones count
/// together.
///
/// A run counts from the moment at which its bytes may leave this VM, until it is ruled out. Time
/// rules none out, nor does the end of the attempt, so that whoever refuses the request can tell at
/// any moment whether it may have run.
#[derive(Clone, Debug, Default)]
pub struct PossibleRuns(Arc<AtomicU32>);

impl PossibleRuns {
    /// Counts a run that begins now. It goes on counting when the result is dropped.
    pub fn begin(&self) -> PossibleRun {
        self.0.fetch_add(1, Ordering::Relaxed);
        PossibleRun(Arc::clone(&self.0))
    }

    /// Whether no backend server has run the request or will run it.
    pub fn is_empty(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// A run of a request that may take place.
#[derive(Debug)]
#[must_use = "a run that did not take place must be ruled out"]
pub struct PossibleRun(Arc<AtomicU32>);

impl PossibleRun {
    /// Records that it did not take place and never will: nothing was sent, or the backend server
    /// says so.
    pub fn rule_out(self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
