use std::collections::BTreeMap;

use kernel::prelude::*;

/// Time constant of the moving average of the demand per weight.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Lower weights must leave the expected demand of higher weights over this time in the bucket.
const RESERVE_WINDOW: Duration = Duration::from_millis(250);
/// Maximum fraction of the bucket reserved for higher weights. The rest lets a single request of
/// the lowest weight pass a full bucket.
const MAX_RESERVE_RATIO: f64 = 0.8;

/// Direction of traffic between two regions, relative to this region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// To the other region.
    Outbound,
    /// From the other region.
    Inbound,
}

/// Token bucket for one direction. One token is one byte.
struct Bucket {
    /// Bytes that may be transferred now, in [0, burst].
    tokens: f64,
    /// Time at which `tokens` was last updated.
    updated: Uptime,
    /// Exponentially decaying demand in bytes by weight (`f64` bits), with the time of its last
    /// update.
    demand: BTreeMap<u64, (f64, Uptime)>,
}

impl Bucket {
    fn refill(&mut self, now: Uptime, rate: f64, burst: f64) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.updated = self.updated.max(now);
    }

    /// Returns the recent demand of weights above `weight`, in bytes per second.
    fn higher_weight_demand(&self, now: Uptime, weight: u64) -> f64 {
        self.demand
            .range(weight + 1..)
            .map(|(_, (bytes, at))| bytes * decay(now, *at) / DEMAND_WINDOW.as_secs_f64())
            .sum()
    }

    fn record_demand(&mut self, now: Uptime, weight: u64, bytes: f64) {
        let entry = self.demand.entry(weight).or_insert((0.0, now));
        *entry = (entry.0 * decay(now, entry.1) + bytes, now);
        // Weights come from the configuration. Those no longer in use must not accumulate.
        self.demand.retain(|_, (bytes, at)| *bytes * decay(now, *at) >= 1.0);
    }
}

fn decay(now: Uptime, at: Uptime) -> f64 {
    (-now.saturating_sub(at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
}

/// Bandwidth limit between two regions, with one token bucket per direction.
///
/// In any time window, at most burst + rate x time bytes are admitted per direction. If the demand
/// exceeds the rate, low weights are rejected first.
pub struct LinkBudget {
    /// Bytes per second in each direction. Greater than 0.
    rate: f64,
    /// Capacity of each bucket in bytes. Greater than 0.
    burst: f64,
    outbound: Bucket,
    inbound: Bucket,
}

impl LinkBudget {
    /// Creates a full budget with `rate` bytes per second and a burst of `burst` bytes in each
    /// direction.
    pub fn new(now: Uptime, rate: f64, burst: f64) -> Self {
        let bucket = || Bucket { tokens: burst, updated: now, demand: BTreeMap::new() };
        LinkBudget { rate, burst, outbound: bucket(), inbound: bucket() }
    }

    fn bucket(&mut self, now: Uptime, direction: Direction) -> &mut Bucket {
        let bucket = match direction {
            Direction::Outbound => &mut self.outbound,
            Direction::Inbound => &mut self.inbound,
        };
        bucket.refill(now, self.rate, self.burst);
        bucket
    }

    /// Takes the bytes of a new request and of its expected response. Returns false, without taking
    /// any, if one of them does not fit.
    ///
    /// `weight` must be greater than 0. Higher weights take precedence.
    pub fn admit(
        &mut self,
        now: Uptime,
        request_bytes: u64,
        response_bytes: u64,
        weight: f64,
    ) -> bool {
        // Non-negative floats sort in the same order as their bits.
        let weight = weight.max(0.0).to_bits();
        let max_reserve = self.burst * MAX_RESERVE_RATIO;
        let mut fits = true;
        for (direction, bytes) in [
            (Direction::Outbound, request_bytes as f64),
            (Direction::Inbound, response_bytes as f64),
        ] {
            let bucket = self.bucket(now, direction);
            let reserve = (bucket.higher_weight_demand(now, weight) * RESERVE_WINDOW.as_secs_f64())
                .min(max_reserve);
            fits &= bytes + reserve <= bucket.tokens;
            bucket.record_demand(now, weight, bytes);
        }
        if fits {
            self.outbound.tokens -= request_bytes as f64;
            self.inbound.tokens -= response_bytes as f64;
        }
        fits
    }

    /// Takes the bytes of the next chunk of a body in transfer, or returns the time to wait before
    /// retrying.
    ///
    /// Chunks must be smaller than the burst. They may use the bytes reserved for higher weights.
    pub fn take_chunk(
        &mut self,
        now: Uptime,
        direction: Direction,
        bytes: u64,
    ) -> Result<(), Duration> {
        let rate = self.rate;
        let bucket = self.bucket(now, direction);
        let missing = bytes as f64 - bucket.tokens;
        if missing <= 0.0 {
            bucket.tokens -= bytes as f64;
            return Ok(());
        }
        Err(Duration::from_secs_f64(missing / rate) + Duration::from_millis(1))
    }

    /// Puts back bytes that were taken for a response that was smaller than expected.
    pub fn refund(&mut self, now: Uptime, direction: Direction, bytes: u64) {
        let burst = self.burst;
        let bucket = self.bucket(now, direction);
        bucket.tokens = (bucket.tokens + bytes as f64).min(burst);
    }
}
