use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use kernel::prelude::*;

/// Status of this VM that many tasks read, without locks.
#[derive(Debug, Default)]
pub struct Flags {
    stopping: AtomicBool,
    store_unreachable: AtomicBool,
    /// Uptime in milliseconds at which the version in force was confirmed to be the newest.
    confirmed_ms: AtomicU64,
    /// Uptime in milliseconds at which a version above the one in force was first reported; 0 if
    /// none is known.
    behind_ms: AtomicU64,
}

fn millis(time: Uptime) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Flags {
    /// Whether this VM has begun to stop.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Marks this VM as stopping.
    pub fn mark_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Sets whether the platform's table is unreachable. Returns whether that has changed.
    pub fn set_store_unreachable(&self, unreachable: bool) -> bool {
        self.store_unreachable.swap(unreachable, Ordering::AcqRel) != unreachable
    }

    /// Whether the last request to the platform's table failed.
    pub fn store_unreachable(&self) -> bool {
        self.store_unreachable.load(Ordering::Acquire)
    }

    /// When the version in force was last confirmed to be the newest.
    pub fn confirmed_at(&self) -> Uptime {
        Duration::from_millis(self.confirmed_ms.load(Ordering::Acquire))
    }

    /// Records that the version in force was the newest at this time.
    pub fn confirm(&self, at: Uptime) {
        self.confirmed_ms.fetch_max(millis(at), Ordering::AcqRel);
    }

    /// Records that a version above the one in force is known. The first time is kept.
    pub fn mark_behind(&self, now: Uptime) {
        let now = millis(now).max(1);
        let _ = self.behind_ms.compare_exchange(0, now, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Records that no version above the one in force is known.
    pub fn clear_behind(&self) {
        self.behind_ms.store(0, Ordering::Release);
    }

    /// When a version above the one in force was first known, if one is.
    pub fn behind_since(&self) -> Option<Uptime> {
        let since = self.behind_ms.load(Ordering::Acquire);
        (since != 0).then(|| Duration::from_millis(since))
    }
}
