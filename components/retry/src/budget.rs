use std::collections::HashMap;

use kernel::{OrganisationId, ServiceId};

/// Retries earned by one first attempt. Below the 5% that retries may add to the load, so that
/// those saved up before a brown-out of a minute fit in: 5% gave 5.2% in the experiment.
const EARNED: f64 = 0.045;
/// Retries that a service and organisation may make before they have earned any.
const START: f64 = 2.0;
/// Most retries saved up. A calm hour must not pay for a burst of retries in a brown-out.
const MOST: f64 = 10.0;

/// Retries that hedges leave over: a retry saves a failed request, a hedge only time.
const RESERVE: f64 = 5.0;

/// Budget of retries and hedges: a part of the first attempts of a service and organisation.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: HashMap<ServiceId, HashMap<OrganisationId, f64>>,
}

impl RetryBudget {
    fn saved(&mut self, service: &str, organisation: &str) -> &mut f64 {
        if !self.saved.contains_key(service) {
            self.saved.insert(service.into(), HashMap::new());
        }
        let saved = self.saved.entry(service.into()).or_default();
        if !saved.contains_key(organisation) {
            saved.insert(organisation.into(), START);
        }
        saved.entry(organisation.into()).or_insert(START)
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&mut self, service: &str, organisation: &str) {
        let saved = self.saved(service, organisation);
        *saved = (*saved + EARNED).min(MOST);
    }

    /// Takes one hedge out of the budget; false if it would use what is kept for retries.
    pub fn take_hedge(&mut self, service: &str, organisation: &str) -> bool {
        *self.saved(service, organisation) > RESERVE && self.take(service, organisation)
    }

    /// Takes one retry out of the budget; false if there is none.
    pub fn take(&mut self, service: &str, organisation: &str) -> bool {
        let saved = self.saved(service, organisation);
        let some = *saved >= 1.0;
        if some {
            *saved -= 1.0;
        }
        some
    }

    /// Whether a retry can be taken now.
    pub fn has(&self, service: &str, organisation: &str) -> bool {
        let saved = self.saved.get(service).and_then(|s| s.get(organisation));
        saved.copied().unwrap_or(START) >= 1.0
    }

    /// Gives back a retry that was taken and not made.
    pub fn give_back(&mut self, service: &str, organisation: &str) {
        let saved = self.saved(service, organisation);
        *saved = (*saved + 1.0).min(MOST);
    }

    /// Forgets the services and organisations that the configuration no longer has.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, &str) -> bool) {
        for (service, saved) in &mut self.saved {
            saved.retain(|organisation, _| keep(service, organisation));
        }
        self.saved.retain(|_, saved| !saved.is_empty());
    }
}
