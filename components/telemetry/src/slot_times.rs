use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use kernel::prelude::*;

use crate::{OrganisationShare, SlotDemand, max_min};

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Total slot time used.
    used: Duration,
    /// Number of attempts that used a slot.
    attempts: u32,
    /// Number of requests that got no slot.
    refused: u32,
}

/// Slot time of one interval by service and organisation, for the services whose home is this VM.
#[derive(Debug, Default)]
pub struct SlotTimes {
    services: Mutex<HashMap<ServiceId, HashMap<OrganisationId, Usage>>>,
}

impl SlotTimes {
    fn update(&self, service: &str, organisation: &str, update: impl FnOnce(&mut Usage)) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if !services.contains_key(service) {
            services.insert(service.into(), HashMap::new());
        }
        let Some(usages) = services.get_mut(service) else { return };
        match usages.get_mut(organisation) {
            Some(usage) => update(usage),
            None => update(usages.entry(organisation.into()).or_default()),
        }
    }

    /// Records that a request used a slot.
    pub fn record_used(&self, service: &str, organisation: &str, used: Duration) {
        self.update(service, organisation, |usage| {
            usage.used += used;
            usage.attempts += 1;
        });
    }

    /// Records that a request got no slot.
    pub fn record_refused(&self, service: &str, organisation: &str) {
        self.update(service, organisation, |usage| usage.refused += 1);
    }

    /// Ends the interval. Returns the slot time used and the fair share of each organisation, over
    /// all services.
    ///
    /// The capacity of a service is the slot time that was used. The demand of an organisation is
    /// what it used, plus the mean slot time for each request that got no slot. `weight` returns
    /// the weight of an organisation, above 0.
    pub fn end_interval(&self, weight: impl Fn(&str) -> f64) -> Vec<OrganisationShare> {
        let services =
            std::mem::take(&mut *self.services.lock().unwrap_or_else(PoisonError::into_inner));
        let mut shares: HashMap<OrganisationId, OrganisationShare> = HashMap::new();
        for usages in services.into_values() {
            let capacity: f64 = usages.values().map(|u| u.used.as_secs_f64()).sum();
            let attempts: u32 = usages.values().map(|u| u.attempts).sum();
            let mean = capacity / f64::from(attempts.max(1));
            let usages: Vec<_> = usages.into_iter().collect();
            let demand = |(organisation, usage): &(OrganisationId, Usage)| SlotDemand {
                weight: weight(organisation),
                demand_s: usage.used.as_secs_f64() + mean * f64::from(usage.refused),
            };
            let fair_shares = max_min(capacity, &usages.iter().map(demand).collect::<Vec<_>>());
            // Requests on public routes belong to no organisation; they count in the capacity only.
            let of_organisations =
                usages.into_iter().zip(fair_shares).filter(|((id, _), _)| !id.is_empty());
            for ((organisation, usage), fair_s) in of_organisations {
                let share = shares.entry(organisation.clone()).or_insert(OrganisationShare {
                    organisation,
                    served_s: 0.0,
                    fair_s: 0.0,
                });
                share.served_s += usage.used.as_secs_f64();
                share.fair_s += fair_s;
            }
        }
        shares.into_values().collect()
    }
}
