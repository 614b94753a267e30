use std::collections::HashMap;

use kernel::{OrganisationId, ServiceId};

/// Retries earned by one first attempt. Below the 5% that retries may add to the load, so that
/// those saved up before a brown-out of a minute fit in: 5% gave 5.2% in the experiment.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.045;
/// Retries that a service and organisation may make before they have earned any.
const INITIAL_TOKENS: f64 = 2.0;
/// Most retries saved up. A calm hour must not pay for a burst of retries in a brown-out.
const MAX_TOKENS: f64 = 10.0;

/// Retries that hedges leave over: a retry saves a failed request, a hedge only time.
const RETRY_RESERVE: f64 = 5.0;

/// Budget of retries and hedges: a part of the first attempts of a service and organisation.
#[derive(Debug, Default)]
pub struct RetryBudget {
    tokens: HashMap<ServiceId, HashMap<OrganisationId, f64>>,
}

impl RetryBudget {
    fn tokens(&mut self, service: &str, organisation: &str) -> &mut f64 {
        if !self.tokens.contains_key(service) {
            self.tokens.insert(service.into(), HashMap::new());
        }
        let tokens = self.tokens.entry(service.into()).or_default();
        if !tokens.contains_key(organisation) {
            tokens.insert(organisation.into(), INITIAL_TOKENS);
        }
        tokens.entry(organisation.into()).or_insert(INITIAL_TOKENS)
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, service: &str, organisation: &str) {
        let tokens = self.tokens(service, organisation);
        *tokens = (*tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes one hedge out of the budget; false if it would use what is kept for retries.
    pub fn take_hedge(&mut self, service: &str, organisation: &str) -> bool {
        *self.tokens(service, organisation) > RETRY_RESERVE
            && self.take_retry(service, organisation)
    }

    /// Takes one retry out of the budget; false if there is none.
    pub fn take_retry(&mut self, service: &str, organisation: &str) -> bool {
        let tokens = self.tokens(service, organisation);
        let available = *tokens >= 1.0;
        if available {
            *tokens -= 1.0;
        }
        available
    }

    /// Whether a retry can be taken now.
    pub fn has_retry(&self, service: &str, organisation: &str) -> bool {
        let tokens = self.tokens.get(service).and_then(|s| s.get(organisation));
        tokens.copied().unwrap_or(INITIAL_TOKENS) >= 1.0
    }

    /// Gives back a retry that was taken and not made.
    pub fn refund(&mut self, service: &str, organisation: &str) {
        let tokens = self.tokens(service, organisation);
        *tokens = (*tokens + 1.0).min(MAX_TOKENS);
    }

    /// Forgets the services and organisations that the configuration no longer has.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, &str) -> bool) {
        for (service, tokens) in &mut self.tokens {
            tokens.retain(|organisation, _| keep(service, organisation));
        }
        self.tokens.retain(|_, tokens| !tokens.is_empty());
    }
}
