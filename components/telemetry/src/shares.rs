use std::cmp::Ordering;

use kernel::OrganisationId;

/// Service that an organisation got in an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationShare {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Slot time that it used, in seconds.
    pub served_s: f64,
    /// Slot time that its max-min share would have been, in seconds.
    pub fair_s: f64,
}

impl OrganisationShare {
    /// Served relative to due; 1 if nothing was due.
    pub fn ratio(&self) -> f64 {
        if self.fair_s > 0.0 { self.served_s / self.fair_s } else { 1.0 }
    }
}

/// Chooses the `top` organisations by service due and, of the rest, the `worst` by ratio.
///
/// There are 480,000 organisations at design size, too many to name in the metrics.
pub fn select_shares(
    shares: &[OrganisationShare],
    top: usize,
    worst: usize,
) -> Vec<OrganisationShare> {
    let by_name =
        |a: &OrganisationShare, b: &OrganisationShare| a.organisation.cmp(&b.organisation);
    let by_fair_share = |a: &OrganisationShare, b: &OrganisationShare| {
        b.fair_s.partial_cmp(&a.fair_s).unwrap_or(Ordering::Equal).then_with(|| by_name(a, b))
    };
    let by_ratio = |a: &OrganisationShare, b: &OrganisationShare| {
        a.ratio().partial_cmp(&b.ratio()).unwrap_or(Ordering::Equal).then_with(|| by_name(a, b))
    };
    let mut all = shares.to_vec();
    all.sort_by(by_fair_share);
    let mut rest = all.split_off(top.min(all.len()));
    rest.sort_by(by_ratio);
    all.extend(rest.into_iter().take(worst));
    all
}

/// What an organisation wanted in an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotDemand {
    /// Weight of the organisation. Above 0.
    pub weight: f64,
    /// Slot time that it wanted, in seconds.
    pub demand_s: f64,
}

/// Weighted max-min shares of a capacity, in the order of the demands. No share is above its
/// demand, and the capacity is used up if the demands are large enough.
pub fn max_min(capacity: f64, demands: &[SlotDemand]) -> Vec<f64> {
    let level = |d: &SlotDemand| d.demand_s / d.weight;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| level(&demands[*a]).total_cmp(&level(&demands[*b])));
    let mut weights: f64 = demands.iter().map(|d| d.weight).sum();
    let mut remaining = capacity;
    let mut shares = vec![0.0; demands.len()];
    // The least demand relative to its weight is met first; what it leaves goes to the others.
    for index in order {
        let demand = demands[index];
        shares[index] = demand.demand_s.min(remaining * demand.weight / weights);
        remaining -= shares[index];
        weights -= demand.weight;
    }
    shares
}
