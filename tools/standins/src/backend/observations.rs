use std::collections::BTreeMap;

use serde::Serialize;

/// Numbers of requests by their result.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RequestCounts {
    /// Requests received, including those to the health and load endpoints.
    pub(crate) received: u64,
    /// Requests that got a slot and began to run.
    pub(crate) run: u64,
    /// Requests whose response was sent completely.
    pub(crate) answered: u64,
    /// Requests refused because all slots and the queue were full.
    pub(crate) shed: u64,
    /// Requests refused because the server was draining.
    pub(crate) drained: u64,
    /// Requests whose connection closed before the response was complete.
    pub(crate) cancelled: u64,
    /// Requests aborted at their deadline while they ran.
    pub(crate) expired: u64,
    /// Requests failed by the switch `fail_fraction`.
    pub(crate) failed: u64,
    /// Health and load requests served.
    pub(crate) probes: u64,
    /// Crashes.
    pub(crate) crashes: u64,
}

/// What a backend server has received and run.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) counts: RequestCounts,
    /// Number of runs by idempotency key, or by request id if there is no key.
    pub(crate) runs: BTreeMap<Box<str>, u64>,
    received: Vec<Box<[u8]>>,
    received_bytes: usize,
    skipped: u64,
}

impl Observations {
    /// Keeps received bytes for `contains`, up to `max_bytes` in total.
    pub(crate) fn record(&mut self, bytes: Vec<u8>, max_bytes: usize) {
        if self.received_bytes + bytes.len() > max_bytes {
            self.skipped += 1;
            return;
        }
        self.received_bytes += bytes.len();
        self.received.push(bytes.into());
    }

    /// Number of heads and bodies not kept for lack of space. `contains` is exact while it is 0.
    pub(crate) fn skipped(&self) -> u64 {
        self.skipped
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
