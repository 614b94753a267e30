use std::time::Duration;

use kernel::Uptime;

use crate::{BackendKey, BackendState, GrayDuration};

/// Time for which a backend server that said it was full gets nothing.
const FULL: Duration = Duration::from_millis(150);

/// How far a backend server is from this VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the failure domain of this VM.
    Domain,
    /// In another failure domain of the region.
    Region,
    /// In another region.
    Remote,
}

/// Weights of a placement, in the worth of one request of the lowest rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementWeights {
    /// Cost of a kilobyte to another failure domain.
    pub domain_kb_cost: f64,
    /// Cost of a kilobyte to another region.
    pub region_kb_cost: f64,
    /// Round trip to another region, in seconds.
    pub region_rtt_s: f64,
    /// Time that a relay adds, in seconds.
    pub relay_delay_s: f64,
    /// Part of a failure's cost that is left when the request may be sent once more.
    pub retry_cost: f64,
    /// Part of a failure's cost that a refusal of the backend server has: the request can be sent
    /// once more, while the budget lasts.
    pub shed_cost: f64,
    /// Slowdown of a backend server right after its start.
    pub cold_factor: f64,
    /// Time without work after which a backend server is tried while its service fails, in
    /// seconds.
    pub idle_limit_s: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        PlacementWeights {
            // Ordinary prices of the platform for bytes between failure domains and regions.
            domain_kb_cost: 0.1,
            region_kb_cost: 0.13,
            region_rtt_s: 0.06,
            // A connection and a request within a failure domain, on two small VMs.
            relay_delay_s: 0.01,
            // A repeat costs a slot elsewhere and time.
            retry_cost: 0.3,
            // Between a repeat (0.3) and a failure (1): while all shed, some repeats find no budget.
            shed_cost: 0.5,
            // The platform's backend servers take about twice as long while cold.
            cold_factor: 2.0,
            // Well inside the 2 s in which most backend servers of a failing service must have
            // been used.
            idle_limit_s: 1.2,
        }
    }
}

/// What a placement needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest<'a> {
    /// What a success is worth, relative to a request of the lowest rank.
    pub value: f64,
    /// Whether it can be sent once more after a failure.
    pub retryable: bool,
    /// Bytes of the request and its answer, in kilobytes.
    pub size_kb: f64,
    /// Usual time of such requests, in seconds.
    pub expected_s: f64,
    /// Time left in which an answer has its full worth, in seconds.
    pub remaining_s: f64,
    /// Backend servers that it was sent to before.
    pub tried: &'a [BackendKey],
    /// How many backend servers may go without work.
    pub coverage: Coverage,
}

/// How many backend servers of the own failure domain may go without work for a while.
///
/// Answers a service that fails widely, or that a kill of many VMs is about to fail: work on few
/// backend servers must not hide that others are sound. Beyond the allowance, those that had no
/// work for longest are tried, the least suspect first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coverage {
    /// Least part of the backend servers of a service that must get work.
    pub min_fraction: f64,
    /// Part of the service's requests that fails.
    pub failure_fraction: f64,
    /// Whether requests that can be sent once more come often enough to try idle backend servers.
    pub has_retryable: bool,
}

impl Coverage {
    /// Failing part from which the floor binds strictly: just below the tenth from which it is
    /// counted.
    const STRICT_FROM: f64 = 0.085;
    /// Coverage above the floor, as the trying takes time.
    const MARGIN: f64 = 0.03;

    /// Backend servers out of `count` that may go without work.
    pub fn max_idle(&self, count: usize) -> usize {
        if self.failure_fraction > Self::STRICT_FROM {
            // The floor is counted among backend servers without known trouble, which may be few
            // and mostly idle ones.
            return 0;
        }
        let idle = (1.0 - self.min_fraction - Self::MARGIN).max(0.0) * count as f64;
        // One of a few is likely to be gray, and trying it fails requests.
        (idle as usize).max(1)
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// To this backend server.
    Send(BackendKey),
    /// Nowhere yet: a better backend server is full.
    Wait,
    /// Nowhere: no backend server of the service is known.
    NoBackend,
}

/// Whether a backend server has had no work for a while.
fn is_starved(now: Uptime, state: &BackendState, options: &PlacementWeights) -> bool {
    let idle = now.saturating_sub(state.last_sent.unwrap_or(state.listed_at)).as_secs_f64();
    idle > options.idle_limit_s
}

/// Whether backend servers without work are tried with this request.
fn explores(
    now: Uptime,
    candidates: &[(BackendKey, &BackendState, Distance)],
    request: &PlacementRequest<'_>,
    options: &PlacementWeights,
) -> bool {
    if request.coverage.has_retryable && !request.retryable {
        return false;
    }
    let own = || {
        let own = candidates.iter().filter(|(_, _, distance)| *distance == Distance::Domain);
        own.filter(|(_, state, _)| !state.entry.draining)
    };
    let starved = own().filter(|(_, state, _)| is_starved(now, state, options)).count();
    starved > request.coverage.max_idle(own().count())
}

/// Expected loss of sending a request to a backend server, in the unit of its worth.
pub fn cost(
    now: Uptime,
    state: &BackendState,
    distance: Distance,
    request: &PlacementRequest<'_>,
    explore: bool,
    length: GrayDuration,
    options: &PlacementWeights,
) -> f64 {
    let mut failure = state.health.failure_probability(now, length);
    if state.reachability.is_unreachable(now) {
        // It can still be tried: a failure to connect costs time and leaves the request unsent.
        failure = failure.max(0.8);
    }
    let retried = if request.retryable { options.retry_cost } else { 1.0 };
    let (transfer, trip) = match distance {
        Distance::Domain => (0.0, 0.0),
        Distance::Region => (options.domain_kb_cost * request.size_kb, 0.002),
        Distance::Remote => (options.region_kb_cost * request.size_kb, options.region_rtt_s),
    };
    let mut time = request.expected_s * state.health.latency_ratio(now);
    if now < state.cold_until {
        time *= options.cold_factor;
    }
    let load = f64::from(state.load(now)) / f64::from(state.entry.slots);
    // Beyond its slots a request waits there for those before it.
    time *= 1.0 + (load + 1.0 / f64::from(state.entry.slots) - 1.0).max(0.0);
    // A relay is in the own failure domain.
    let trip = if state.reachability.relay.is_some() { trip + options.relay_delay_s } else { trip };
    let late = ((time + trip) / request.remaining_s.max(0.05)).min(2.0);
    // Each home tries the backend servers of its own failure domain.
    let tries = (explore || state.last_sent.is_none())
        && distance == Distance::Domain
        && is_starved(now, state, options);
    let starved = if tries { 1.0 } else { 0.0 };
    let load_cost = 0.02 * load * load;
    let shed = state.shed_rate.get(now) * options.shed_cost;
    request.value * (failure * retried + shed + 0.25 * late * late + load_cost - starved) + transfer
}

/// Whether a backend server has room for one more request.
fn has_room(now: Uptime, state: &BackendState) -> bool {
    let full = state.last_full.is_some_and(|at| now.saturating_sub(at) < FULL);
    state.load(now) < state.entry.slots && !full
}

/// Places a request: the backend server with room whose expected loss is least.
///
/// Answers a service of which a third is gray and some failure domains have few backend servers:
/// work goes to another failure domain when what it would lose at home is worth more than the
/// bytes. Draining backend servers and those tried before get nothing.
pub fn place<'a>(
    now: Uptime,
    candidates: impl Iterator<Item = (BackendKey, &'a BackendState, Distance)>,
    request: &PlacementRequest<'_>,
    length: GrayDuration,
    options: &PlacementWeights,
) -> Placement {
    let candidates: Vec<_> = candidates.collect();
    let explore = explores(now, &candidates, request, options);
    let mut best: Option<(f64, BackendKey)> = None;
    let mut best_full: Option<f64> = None;
    let mut any = false;
    for (key, state, distance) in candidates {
        if state.entry.draining || request.tried.contains(&key) {
            continue;
        }
        any = true;
        let cost = cost(now, state, distance, request, explore, length, options);
        if has_room(now, state) {
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        } else if best_full.is_none_or(|least| cost < least) {
            best_full = Some(cost);
        }
    }
    match (best, best_full) {
        (Some((cost, _)), Some(full))
            if !request.retryable
                && cost > 0.5 * request.value
                && full < 0.4 * request.value
                && request.remaining_s > 1.5 * request.expected_s =>
        {
            Placement::Wait
        }
        (Some((_, key)), _) => Placement::Send(key),
        (None, _) if any => Placement::Wait,
        (None, _) => Placement::NoBackend,
    }
}
