use std::time::Duration;

use kernel::Uptime;

use crate::{Availability, BackendKey, BackendState, GrayDuration};

/// Time for which a backend server that has refused a request as full gets no request.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// Network distance of a backend server from this VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the failure domain of this VM.
    Domain,
    /// In another failure domain of the region.
    Region,
    /// In another region.
    Remote,
}

/// Weights of the placement decision. The unit of costs is the value of one request of the lowest
/// priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementWeights {
    /// Cost of a kilobyte to another failure domain of the region.
    pub domain_kb_cost: f64,
    /// Cost of a kilobyte to another region.
    pub region_kb_cost: f64,
    /// Round-trip time to another region, in seconds.
    pub region_rtt_s: f64,
    /// Time that a kilobyte of a request takes to another region, in seconds.
    pub region_kb_s: f64,
    /// Delay that a relay adds, in seconds.
    pub relay_delay_s: f64,
    /// Cost of a failure of a request that may be retried, relative to one that may not.
    pub retry_cost: f64,
    /// Cost of a shed request, relative to a failure: the request can be retried while the retry
    /// budget lasts.
    pub shed_cost: f64,
    /// Factor on the service time of a backend server that has just started.
    pub cold_factor: f64,
    /// Time without a request, in seconds, after which a backend server counts as idle and is
    /// probed while its service fails.
    pub idle_threshold_s: f64,
    /// Value of a request to an idle backend server with a request limit, which cannot say otherwise
    /// that the limit has ended.
    pub unheard_bonus: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        PlacementWeights {
            // List prices of the platform for traffic between failure domains and regions.
            domain_kb_cost: 0.1,
            region_kb_cost: 0.13,
            region_rtt_s: 0.06,
            // A TCP window of 64 KB for each round trip.
            region_kb_s: 0.001,
            // One connection and one request within a failure domain, between two small VMs.
            relay_delay_s: 0.01,
            // A retry costs time and a slot of another backend server.
            retry_cost: 0.3,
            // Between a retry (0.3) and a failure (1): while all backend servers shed, the budget
            // does not suffice for every retry.
            shed_cost: 0.5,
            // The platform's backend servers take about twice as long right after their start.
            cold_factor: 2.0,
            // Well below the 2 s within which most backend servers of a failing service must have
            // had a request.
            idle_threshold_s: 1.2,
            // Above the differences between healthy backend servers, below the cost of a gray one.
            unheard_bonus: 0.15,
        }
    }
}

/// Properties of a request that its placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest<'a> {
    /// Value of a success, relative to a request of the lowest priority.
    pub value: f64,
    /// Whether it can be retried after a failure.
    pub retryable: bool,
    /// Expected size of the request and its response together, in kilobytes.
    pub size_kb: f64,
    /// Size of the body of the request, in kilobytes.
    pub body_kb: f64,
    /// Expected service time, in seconds.
    pub expected_s: f64,
    /// Remaining time in which a response has its full value, in seconds.
    pub remaining_s: f64,
    /// Backend servers that it was sent to before.
    pub tried: &'a [BackendKey],
    /// Rule for probing idle backend servers.
    pub coverage: Coverage,
}

/// Rule for how many backend servers of the local failure domain may be idle.
///
/// Handles a service many of whose requests fail, and one that is about to fail because many VMs
/// were killed: if only a few backend servers get requests, it stays unknown which others are
/// healthy. Idle backend servers beyond the permitted number are probed with requests, those with
/// the lowest expected loss first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coverage {
    /// Minimum fraction of the backend servers of a service that must get requests.
    pub min_fraction: f64,
    /// Fraction of the service's requests that fail.
    pub failure_fraction: f64,
    /// Whether requests that can be retried arrive often enough to probe idle backend servers.
    pub has_retryable: bool,
}

impl Coverage {
    /// Failure fraction above which no backend server may be idle: just below the 0.1 from which
    /// the platform checks the minimum fraction.
    const STRICT_FAILURE_FRACTION: f64 = 0.085;
    /// Margin above the minimum fraction, since probing takes time.
    const MARGIN: f64 = 0.03;

    /// Number of backend servers out of `count` that may be idle.
    pub fn max_idle(&self, count: usize) -> usize {
        if self.failure_fraction > Self::STRICT_FAILURE_FRACTION {
            // The minimum fraction is checked among backend servers without known faults, which may
            // be few and mostly idle.
            return 0;
        }
        let idle = (1.0 - self.min_fraction - Self::MARGIN).max(0.0) * count as f64;
        // Even of a few backend servers one is likely to be gray, and probing it fails requests.
        (idle as usize).max(1)
    }
}

/// Decision on where a request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Send it to this backend server.
    Send(BackendKey),
    /// Let it wait: every backend server is full, or a full one is much better than the free ones.
    Wait,
    /// Every backend server that is left for it has asked for a pause; the first one ends then.
    Paused(Uptime),
    /// No backend server is left for it.
    NoBackend,
}

/// Whether a backend server has had no request for a while.
fn is_idle(now: Uptime, state: &BackendState, weights: &PlacementWeights) -> bool {
    let idle = now.saturating_sub(state.last_sent.unwrap_or(state.listed_at)).as_secs_f64();
    idle > weights.idle_threshold_s
}

/// Whether to probe idle backend servers with this request.
fn should_probe(
    now: Uptime,
    candidates: &[(BackendKey, &BackendState, Distance)],
    request: &PlacementRequest<'_>,
    weights: &PlacementWeights,
) -> bool {
    if request.coverage.has_retryable && !request.retryable {
        return false;
    }
    let local = || {
        let local = candidates.iter().filter(|(_, _, distance)| *distance == Distance::Domain);
        local.filter(|(_, state, _)| {
            // A request limit leaves no requests for probes.
            state.availability(now) == Availability::Ready && state.pace.is_none()
        })
    };
    let idle = local().filter(|(_, state, _)| is_idle(now, state, weights)).count();
    idle > request.coverage.max_idle(local().count())
}

/// Expected loss of sending a request to a backend server, in the unit of [`PlacementRequest`]'s
/// value.
pub fn estimate_loss(
    now: Uptime,
    state: &BackendState,
    distance: Distance,
    request: &PlacementRequest<'_>,
    probe: bool,
    gray_duration: GrayDuration,
    weights: &PlacementWeights,
) -> f64 {
    let mut failure = state.health.failure_probability(now, gray_duration);
    if state.reachability.is_unreachable(now) {
        // Not 1: it stays a last resort, as a failure to connect costs time but leaves the request
        // unsent.
        failure = failure.max(0.8);
    }
    let failure_cost = if request.retryable { weights.retry_cost } else { 1.0 };
    let (transfer, rtt_s) = match distance {
        Distance::Domain => (0.0, 0.0),
        Distance::Region => (weights.domain_kb_cost * request.size_kb, 0.002),
        Distance::Remote => (
            weights.region_kb_cost * request.size_kb,
            weights.region_rtt_s + weights.region_kb_s * request.body_kb,
        ),
    };
    let mut time_s = request.expected_s * state.health.latency_ratio(now);
    if now < state.cold_until {
        time_s *= weights.cold_factor;
    }
    let load = f64::from(state.load(now)) / f64::from(state.entry.slots);
    // Requests beyond the number of slots wait at the backend server.
    time_s *= 1.0 + (load + 1.0 / f64::from(state.entry.slots) - 1.0).max(0.0);
    // The relay is in the failure domain of this VM, so it adds no other network distance.
    let rtt_s =
        if state.reachability.relay.is_some() { rtt_s + weights.relay_delay_s } else { rtt_s };
    let lateness = ((time_s + rtt_s) / request.remaining_s.max(0.05)).min(2.0);
    // Each leader probes the backend servers of its own failure domain only.
    let is_probe = (probe || state.last_sent.is_none())
        && distance == Distance::Domain
        && is_idle(now, state, weights);
    let is_unheard = state.pace.is_some()
        && distance == Distance::Domain
        && is_idle(now, state, weights)
        && (request.retryable || !request.coverage.has_retryable);
    let probe_bonus = if is_probe {
        1.0
    } else if is_unheard {
        weights.unheard_bonus
    } else {
        0.0
    };
    let load_cost = 0.02 * load * load;
    let shed_loss = state.shed_rate.get(now) * weights.shed_cost;
    request.value
        * (failure * failure_cost + shed_loss + 0.25 * lateness * lateness + load_cost
            - probe_bonus)
        + transfer
}

/// Whether a backend server has a free slot.
fn has_free_slot(now: Uptime, state: &BackendState) -> bool {
    let full = state.last_full.is_some_and(|at| now.saturating_sub(at) < FULL_BACKOFF);
    state.load(now) < state.entry.slots && !full
}

/// Places a request on the backend server that has a free slot and the least expected loss. Backend
/// servers that are leaving or have asked for a pause, those that the request was already sent to,
/// and those whose request limit is used up are left out.
///
/// Handles a service of which a third is gray and some failure domains have few backend servers:
/// requests go to another failure domain when the expected loss in their own is higher than the
/// cost of the traffic.
pub fn place<'a>(
    now: Uptime,
    candidates: impl Iterator<Item = (BackendKey, &'a BackendState, Distance)>,
    request: &PlacementRequest<'_>,
    gray_duration: GrayDuration,
    weights: &PlacementWeights,
) -> Placement {
    let candidates: Vec<_> = candidates.collect();
    let probe = should_probe(now, &candidates, request, weights);
    let mut best: Option<(f64, BackendKey)> = None;
    let mut best_full: Option<f64> = None;
    let mut any = false;
    let mut pause_end: Option<Uptime> = None;
    for (key, state, distance) in candidates {
        if request.tried.contains(&key) {
            continue;
        }
        match state.availability(now) {
            Availability::Ready => {}
            Availability::Leaving => continue,
            Availability::Paused(until) => {
                pause_end = Some(pause_end.map_or(until, |end| end.min(until)));
                continue;
            }
        }
        any = true;
        if !state.is_within_limit(now) {
            continue;
        }
        let loss = estimate_loss(now, state, distance, request, probe, gray_duration, weights);
        if has_free_slot(now, state) {
            if best.is_none_or(|(least, _)| loss < least) {
                best = Some((loss, key));
            }
        } else if best_full.is_none_or(|least| loss < least) {
            best_full = Some(loss);
        }
    }
    match (best, best_full) {
        (Some((loss, _)), Some(full_loss))
            if !request.retryable
                && loss > 0.5 * request.value
                && full_loss < 0.4 * request.value
                && request.remaining_s > 1.5 * request.expected_s =>
        {
            Placement::Wait
        }
        (Some((_, key)), _) => Placement::Send(key),
        (None, _) if any => Placement::Wait,
        (None, _) => pause_end.map_or(Placement::NoBackend, Placement::Paused),
    }
}
