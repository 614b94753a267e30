use std::collections::HashMap;
use std::time::Duration;

use kernel::Uptime;

/// Deaths of backend servers after which a request is refused.
pub const MAX_DEATHS: u32 = 2;
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
    deaths: HashMap<u64, (u32, Uptime)>,
}

impl CrashSuspects {
    /// Deaths that the request is blamed for.
    pub fn deaths(&self, now: Uptime, fingerprint: u64) -> u32 {
        match self.deaths.get(&fingerprint) {
            Some((count, at)) if now.saturating_sub(*at) < MEMORY => *count,
            _ => 0,
        }
    }

    /// Whether the request must not run.
    pub fn is_refused(&self, now: Uptime, fingerprint: u64) -> bool {
        self.deaths(now, fingerprint) >= MAX_DEATHS
    }

    /// Notes a death; returns the deaths so far.
    pub fn died(&mut self, now: Uptime, fingerprint: u64) -> u32 {
        let count = self.deaths(now, fingerprint) + 1;
        self.learn(now, fingerprint, count);
        count
    }

    /// Takes the number of deaths that another VM knows of.
    pub fn learn(&mut self, now: Uptime, fingerprint: u64, count: u32) {
        let known = self.deaths(now, fingerprint);
        if self.deaths.len() >= MOST
            && let Some(oldest) = self.deaths.iter().min_by_key(|(_, (_, at))| *at)
        {
            let oldest = *oldest.0;
            self.deaths.remove(&oldest);
        }
        self.deaths.insert(fingerprint, (count.max(known), now));
    }

    /// A whole answer clears the request.
    pub fn survived(&mut self, fingerprint: u64) {
        self.deaths.remove(&fingerprint);
    }
}
