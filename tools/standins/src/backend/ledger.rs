use std::collections::BTreeMap;

use serde::Serialize;

/// Counts of what became of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Counts {
    /// Requests received, those to the health and load endpoints included.
    pub(crate) received: u64,
    /// Requests that got a slot and began to run.
    pub(crate) run: u64,
    /// Requests answered in full.
    pub(crate) answered: u64,
    /// Requests refused because it is full.
    pub(crate) shed: u64,
    /// Requests refused because it is leaving.
    pub(crate) drained: u64,
    /// Requests whose connection closed before the answer was complete.
    pub(crate) cancelled: u64,
    /// Requests ended at their deadline while they ran.
    pub(crate) expired: u64,
    /// Requests that the switches failed.
    pub(crate) failed: u64,
    /// Health and load requests answered.
    pub(crate) probes: u64,
    /// Crashes.
    pub(crate) crashes: u64,
}

/// What a backend server has seen.
#[derive(Default)]
pub(crate) struct Ledger {
    pub(crate) counts: Counts,
    /// Runs by idempotency key, or by request id where there is none.
    pub(crate) runs: BTreeMap<Box<str>, u64>,
    received: Vec<Box<[u8]>>,
    size: usize,
    forgotten: u64,
}

impl Ledger {
    /// Keeps received bytes for later questions, up to `most` in all.
    pub(crate) fn keep(&mut self, bytes: Vec<u8>, most: usize) {
        if self.size + bytes.len() > most {
            self.forgotten += 1;
            return;
        }
        self.size += bytes.len();
        self.received.push(bytes.into());
    }

    /// Number of heads and bodies that were too much to keep. While it is 0, `contains` is exact.
    pub(crate) fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Whether a kept head or body contains the text.
    pub(crate) fn contains(&self, text: &str) -> bool {
        let text = text.as_bytes();
        text.is_empty()
            || self
                .received
                .iter()
                .any(|bytes| bytes.windows(text.len()).any(|window| window == text))
    }
}
