use std::collections::HashMap;
use std::time::Duration;

use kernel::Uptime;

/// Crashes of backend servers after which a request is refused.
pub const MAX_CRASHES: u32 = 2;
/// Time for which a crash is remembered; callers resend such requests for minutes.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Capacity of the table; beyond it the request with the oldest crash is evicted.
const MAX_SUSPECTS: usize = 2048;

/// Requests during which backend servers crashed, by fingerprint.
///
/// Handles a request that crashes every backend server that runs it and that its caller resends
/// through any VM: the VMs report crashes to each other.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    crashes: HashMap<u64, (u32, Uptime)>,
}

impl CrashSuspects {
    /// Crashes attributed to the request.
    pub fn crash_count(&self, now: Uptime, fingerprint: u64) -> u32 {
        match self.crashes.get(&fingerprint) {
            Some((count, at)) if now.saturating_sub(*at) < CRASH_RETENTION => *count,
            _ => 0,
        }
    }

    /// Whether the request must not run.
    pub fn is_blocked(&self, now: Uptime, fingerprint: u64) -> bool {
        self.crash_count(now, fingerprint) >= MAX_CRASHES
    }

    /// Records a crash. Returns the number of crashes so far.
    pub fn record_crash(&mut self, now: Uptime, fingerprint: u64) -> u32 {
        let count = self.crash_count(now, fingerprint) + 1;
        self.merge_count(now, fingerprint, count);
        count
    }

    /// Merges the number of crashes that another VM reports; the higher number wins.
    pub fn merge_count(&mut self, now: Uptime, fingerprint: u64, count: u32) {
        let known = self.crash_count(now, fingerprint);
        if self.crashes.len() >= MAX_SUSPECTS
            && let Some(oldest) = self.crashes.iter().min_by_key(|(_, (_, at))| *at)
        {
            let oldest = *oldest.0;
            self.crashes.remove(&oldest);
        }
        self.crashes.insert(fingerprint, (count.max(known), now));
    }

    /// Forgets the crashes of a request that has had a complete response.
    pub fn clear(&mut self, fingerprint: u64) {
        self.crashes.remove(&fingerprint);
    }
}
