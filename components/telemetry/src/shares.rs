use std::cmp::Ordering;

use kernel::OrganisationId;

/// Slot time that an organisation used in an interval, and its fair share.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationShare {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Slot time used, in seconds.
    pub served_s: f64,
    /// Weighted max-min fair share of slot time, in seconds.
    pub fair_s: f64,
}

impl OrganisationShare {
    /// Ratio of slot time used to the fair share; 1 if the share is zero.
    pub fn ratio(&self) -> f64 {
        if self.fair_s > 0.0 { self.served_s / self.fair_s } else { 1.0 }
    }
}

/// Selects the `top` organisations by fair share and, of the rest, the `worst` by ratio.
///
/// The design size is 480,000 organisations, too many for one label value each.
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

/// Demand of an organisation in an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotDemand {
    /// Weight of the organisation, above 0.
    pub weight: f64,
    /// Slot time demanded, in seconds.
    pub demand_s: f64,
}

/// Computes the weighted max-min fair shares of a capacity, in the order of the demands. No share
/// exceeds its demand, and the capacity is used up if the demands are large enough.
pub fn max_min(capacity: f64, demands: &[SlotDemand]) -> Vec<f64> {
    let level = |d: &SlotDemand| d.demand_s / d.weight;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| level(&demands[*a]).total_cmp(&level(&demands[*b])));
    let mut weights: f64 = demands.iter().map(|d| d.weight).sum();
    let mut remaining = capacity;
    let mut shares = vec![0.0; demands.len()];
    // Serves demands in ascending order relative to their weights; what one leaves goes to the
    // others.
    for index in order {
        let demand = demands[index];
        shares[index] = demand.demand_s.min(remaining * demand.weight / weights);
        remaining -= shares[index];
        weights -= demand.weight;
    }
    shares
}
