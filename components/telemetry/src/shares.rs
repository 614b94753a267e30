use std::cmp::Ordering;

use kernel::OrganisationId;

/// Service that an organisation got in an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationShare {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Slot time that it used, in seconds.
    pub served: f64,
    /// Slot time that its max-min share would have been, in seconds.
    pub due: f64,
}

impl OrganisationShare {
    /// Served relative to due; 1 if nothing was due.
    pub fn ratio(&self) -> f64 {
        if self.due > 0.0 { self.served / self.due } else { 1.0 }
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
    let more_due = |a: &OrganisationShare, b: &OrganisationShare| {
        b.due.partial_cmp(&a.due).unwrap_or(Ordering::Equal).then_with(|| by_name(a, b))
    };
    let less_served = |a: &OrganisationShare, b: &OrganisationShare| {
        a.ratio().partial_cmp(&b.ratio()).unwrap_or(Ordering::Equal).then_with(|| by_name(a, b))
    };
    let mut all = shares.to_vec();
    all.sort_by(more_due);
    let mut rest = all.split_off(top.min(all.len()));
    rest.sort_by(less_served);
    all.extend(rest.into_iter().take(worst));
    all
}

/// What an organisation wanted in an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Weight of the organisation. Above 0.
    pub weight: f64,
    /// Slot time that it wanted, in seconds.
    pub wanted: f64,
}

/// Weighted max-min shares of a capacity, in the order of the demands. No share is above its
/// demand, and the capacity is used up if the demands are large enough.
pub fn max_min(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    let level = |d: &Demand| d.wanted / d.weight;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| level(&demands[*a]).total_cmp(&level(&demands[*b])));
    let mut weights: f64 = demands.iter().map(|d| d.weight).sum();
    let mut left = capacity;
    let mut shares = vec![0.0; demands.len()];
    // The least demand relative to its weight is met first; what it leaves goes to the others.
    for index in order {
        let demand = demands[index];
        shares[index] = demand.wanted.min(left * demand.weight / weights);
        left -= shares[index];
        weights -= demand.weight;
    }
    shares
}
