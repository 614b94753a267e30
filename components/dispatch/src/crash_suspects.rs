use std::collections::HashMap;
use std::time::Duration;

use kernel::Uptime;

/// Deaths of backend servers after which a request is refused.
pub const MAX_CRASHES: u32 = 2;
/// Time for which a death is remembered; such requests come again for minutes.
const MEMORY: Duration = Duration::from_secs(120);
/// Most requests remembered; above it the oldest are forgotten.
const MOST: usize = 2048;

/// Requests on which backend servers died, by fingerprint.
///
/// Answers a request that takes down each backend server that runs it and is sent again by its
/// caller, through any VM: VMs tell each other of deaths.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    crashes: HashMap<u64, (u32, Uptime)>,
}

impl CrashSuspects {
    /// Deaths that the request is blamed for.
    pub fn crash_count(&self, now: Uptime, fingerprint: u64) -> u32 {
        match self.crashes.get(&fingerprint) {
            Some((count, at)) if now.saturating_sub(*at) < MEMORY => *count,
            _ => 0,
        }
    }

    /// Whether the request must not run.
    pub fn is_blocked(&self, now: Uptime, fingerprint: u64) -> bool {
        self.crash_count(now, fingerprint) >= MAX_CRASHES
    }

    /// Notes a death; returns the deaths so far.
    pub fn record_crash(&mut self, now: Uptime, fingerprint: u64) -> u32 {
        let count = self.crash_count(now, fingerprint) + 1;
        self.merge_count(now, fingerprint, count);
        count
    }

    /// Takes the number of deaths that another VM knows of.
    pub fn merge_count(&mut self, now: Uptime, fingerprint: u64, count: u32) {
        let known = self.crash_count(now, fingerprint);
        if self.crashes.len() >= MOST
            && let Some(oldest) = self.crashes.iter().min_by_key(|(_, (_, at))| *at)
        {
            let oldest = *oldest.0;
            self.crashes.remove(&oldest);
        }
        self.crashes.insert(fingerprint, (count.max(known), now));
    }

    /// A whole answer clears the request.
    pub fn clear(&mut self, fingerprint: u64) {
        self.crashes.remove(&fingerprint);
    }
}
