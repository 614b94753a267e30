use std::collections::BTreeMap;

use kernel::prelude::*;

/// Time over which the demand of a weight is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Demand of higher weights that lower weights must leave in the bucket.
const RESERVE_TIME: Duration = Duration::from_millis(250);
/// Largest part of the bucket that is kept for higher weights, so that a single request of the
/// lowest weight can still pass a full bucket.
const RESERVE_PART: f64 = 0.8;

/// Direction of bytes between two regions, as this region sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// To the other region.
    Out,
    /// From the other region.
    In,
}

/// Bucket of one direction.
struct Lane {
    /// Bytes that may be sent now. In [0, burst].
    level: f64,
    /// When `level` was computed.
    at: Uptime,
    /// Recent demand in bytes by weight (as ordered bits), with the time it was computed.
    demand: BTreeMap<u64, (f64, Uptime)>,
}

impl Lane {
    fn advance(&mut self, now: Uptime, rate: f64, burst: f64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + passed * rate).min(burst);
        self.at = self.at.max(now);
    }

    /// Bytes per second that weights above `weight` asked for lately.
    fn higher_demand(&self, now: Uptime, weight: u64) -> f64 {
        self.demand
            .range(weight + 1..)
            .map(|(_, (bytes, at))| bytes * fade(now, *at) / DEMAND_WINDOW.as_secs_f64())
            .sum()
    }

    fn note_demand(&mut self, now: Uptime, weight: u64, bytes: f64) {
        let entry = self.demand.entry(weight).or_insert((0.0, now));
        *entry = (entry.0 * fade(now, entry.1) + bytes, now);
        // Weights come from the configuration; forgotten ones must not pile up.
        self.demand.retain(|_, (bytes, at)| *bytes * fade(now, *at) >= 1.0);
    }
}

fn fade(now: Uptime, at: Uptime) -> f64 {
    (-now.saturating_sub(at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
}

/// Budget of bytes between two regions, one token bucket each way.
///
/// In any window the bytes let through are at most burst + rate x time, each way. When demand is
/// above the rate, low weights are refused first.
pub struct LinkBudget {
    /// Bytes per second, each way. Above 0.
    rate: f64,
    /// Largest number of bytes at once, each way. Above 0.
    burst: f64,
    out: Lane,
    back: Lane,
}

impl LinkBudget {
    /// A full budget with `rate` bytes per second and `burst` bytes at once, each way.
    pub fn new(now: Uptime, rate: f64, burst: f64) -> Self {
        let lane = || Lane { level: burst, at: now, demand: BTreeMap::new() };
        LinkBudget { rate, burst, out: lane(), back: lane() }
    }

    fn lane(&mut self, now: Uptime, direction: Direction) -> &mut Lane {
        let lane = match direction {
            Direction::Out => &mut self.out,
            Direction::In => &mut self.back,
        };
        lane.advance(now, self.rate, self.burst);
        lane
    }

    /// Takes the bytes of a new request and of its expected answer, or refuses both.
    ///
    /// `weight` is above 0; higher weights are served first.
    pub fn admit(&mut self, now: Uptime, out: u64, back: u64, weight: f64) -> bool {
        // Positive floats order like their bits.
        let weight = weight.max(0.0).to_bits();
        let most = self.burst * RESERVE_PART;
        let mut fits = true;
        for (direction, bytes) in [(Direction::Out, out as f64), (Direction::In, back as f64)] {
            let lane = self.lane(now, direction);
            let reserve = (lane.higher_demand(now, weight) * RESERVE_TIME.as_secs_f64()).min(most);
            fits &= bytes + reserve <= lane.level;
            lane.note_demand(now, weight, bytes);
        }
        if fits {
            self.out.level -= out as f64;
            self.back.level -= back as f64;
        }
        fits
    }

    /// Takes the bytes of a chunk of a body that has begun, or says how long it must wait.
    ///
    /// Chunks must be smaller than the burst; those of begun bodies need leave no reserve.
    pub fn take_chunk(
        &mut self,
        now: Uptime,
        direction: Direction,
        bytes: u64,
    ) -> Result<(), Duration> {
        let rate = self.rate;
        let lane = self.lane(now, direction);
        let missing = bytes as f64 - lane.level;
        if missing <= 0.0 {
            lane.level -= bytes as f64;
            return Ok(());
        }
        Err(Duration::from_secs_f64(missing / rate) + Duration::from_millis(1))
    }

    /// Gives back bytes that were taken for an answer that turned out smaller.
    pub fn give_back(&mut self, now: Uptime, direction: Direction, bytes: u64) {
        let burst = self.burst;
        let lane = self.lane(now, direction);
        lane.level = (lane.level + bytes as f64).min(burst);
    }
}
