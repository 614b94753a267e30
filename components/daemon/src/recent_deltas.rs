use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use config::Delta;
use kernel::prelude::*;

/// Number of deltas kept for VMs that are behind. At 11,000 changes a day they cover half an hour.
const MAX_DELTAS: usize = 256;

/// The last deltas that this VM has applied.
#[derive(Debug, Default)]
pub struct RecentDeltas {
    /// Ordered by version, without gaps.
    deltas: Mutex<VecDeque<Delta>>,
}

impl RecentDeltas {
    /// Adds a delta. If it does not directly follow the last one, the earlier ones are removed.
    pub fn add(&self, delta: Delta) {
        let mut deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        if deltas.back().is_some_and(|last| last.version + 1 != delta.version) {
            deltas.clear();
        }
        deltas.push_back(delta);
        if deltas.len() > MAX_DELTAS {
            deltas.pop_front();
        }
    }

    /// Returns the deltas after a version, or none if they do not reach back that far.
    pub fn after(&self, version: ConfigVersion) -> Vec<Delta> {
        let deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        if deltas.front().is_none_or(|first| first.version > version + 1) {
            return Vec::new();
        }
        deltas.iter().filter(|d| d.version > version).cloned().collect()
    }
}
