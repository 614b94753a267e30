use kernel::Uptime;

use crate::{Availability, BackendState, Distance, PaceRight};

/// Part of a limit that a VM counts on if it sends by permits.
const PERMIT_FRACTION: f64 = 0.25;
/// Lower bound of the expected service time, in seconds.
const MIN_EXPECTED_S: f64 = 0.01;

/// Capacity that the requests of a queue wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueCapacity {
    /// Slots of the backend servers.
    pub slots: u32,
    /// Expected service time of a request, in seconds.
    pub expected_s: f64,
    /// When the first slot can become free: now, or the end of a pause that all have asked for.
    pub available_at: Uptime,
    /// Starts per second beside those in `slots`, of backend servers with a request limit and of
    /// other failure domains; `None` if no backend server has a limit.
    pub limited_rate: Option<f64>,
}

/// What a capacity is estimated from, beside the backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityInput {
    /// Present time.
    pub now: Uptime,
    /// Expected service time of a request, in seconds.
    pub expected_s: f64,
    /// When the first slot can become free.
    pub available_at: Uptime,
    /// Number of failure domains. At least 1.
    pub domains: usize,
    /// Number of requests that wait on this VM.
    pub own_waiting: usize,
    /// Number of requests that wait on other VMs for permits of this one.
    pub remote_waiting: usize,
}

impl QueueCapacity {
    /// Estimates what a waiting request can count on: the slots of its own failure domain, and once a
    /// backend server is limited, what limits leave to this VM and its part of other failure domains.
    ///
    /// Handles limits below what the slots could serve: requests that cannot start in time are
    /// rejected at once instead of waiting for slots that stay idle.
    pub fn estimate<'a>(
        backends: impl Iterator<Item = (&'a BackendState, Distance)>,
        input: &CapacityInput,
    ) -> QueueCapacity {
        let CapacityInput { now, expected_s, available_at, .. } = *input;
        let own_part = (input.own_waiting as f64 + 1.0)
            / (input.own_waiting as f64 + 1.0 + input.remote_waiting as f64);
        let mut slots = 0_u32;
        let (mut limited_rate, mut remote_rate, mut is_limited) = (0.0, 0.0, false);
        for (backend, distance) in backends {
            match backend.availability(now) {
                Availability::Ready => {}
                Availability::Paused(until) if until <= available_at => {}
                _ => continue,
            }
            let max_rate = f64::from(backend.entry.slots) / expected_s.max(MIN_EXPECTED_S);
            match backend.pace {
                Some(pace) => {
                    is_limited = true;
                    let rate = match pace.right() {
                        PaceRight::Permit => PERMIT_FRACTION * pace.limit().per_second(),
                        _ => pace.rate() * own_part,
                    };
                    limited_rate += rate.min(max_rate);
                }
                None if distance == Distance::Domain => {
                    slots = slots.saturating_add(backend.entry.slots);
                }
                None => remote_rate += max_rate / input.domains.max(1) as f64,
            }
        }
        let limited_rate = is_limited.then_some(limited_rate + remote_rate);
        QueueCapacity { slots, expected_s, available_at, limited_rate }
    }

    /// Starts per second that the slots allow.
    pub fn slot_rate(&self) -> f64 {
        f64::from(self.slots) / self.expected_s.max(MIN_EXPECTED_S)
    }

    /// Starts per second that slots and request limits allow together; `None` without a limit.
    pub fn max_rate(&self) -> Option<f64> {
        self.limited_rate.map(|limited| self.slot_rate() + limited)
    }
}
