use std::collections::HashMap;

use kernel::{OrganisationId, ServiceId};

/// Tokens added per first attempt. Below the 5% that retries may add to the load, so that tokens
/// saved before a brown-out of one minute stay within that limit: 5% gave 5.2% in the experiment.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.045;
/// Tokens of a service and organisation before their first attempt.
const INITIAL_TOKENS: f64 = 2.0;
/// Maximum number of tokens, so that an hour without failures cannot pay for a burst of retries in
/// a brown-out.
const MAX_TOKENS: f64 = 10.0;

/// Tokens that hedges leave for retries: a retry saves a failed request, a hedge only saves time.
const RETRY_RESERVE: f64 = 5.0;

/// Token bucket for the retries and hedges of each service and organisation. Each retry or hedge
/// takes one token; first attempts add a fraction of one.
#[derive(Debug, Default)]
pub struct RetryBudget {
    tokens: HashMap<ServiceId, HashMap<OrganisationId, f64>>,
}

impl RetryBudget {
    /// Returns the tokens of a service and organisation; new ones start with `INITIAL_TOKENS`.
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

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_first_attempt(&mut self, service: &str, organisation: &str) {
        let tokens = self.tokens(service, organisation);
        *tokens = (*tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes one hedge out of the budget. Returns false if it would use the reserve for retries.
    pub fn take_hedge(&mut self, service: &str, organisation: &str) -> bool {
        *self.tokens(service, organisation) > RETRY_RESERVE
            && self.take_retry(service, organisation)
    }

    /// Takes one retry out of the budget. Returns false if the budget is exhausted.
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

    /// Refunds a retry or hedge that was taken but not sent.
    pub fn refund(&mut self, service: &str, organisation: &str) {
        let tokens = self.tokens(service, organisation);
        *tokens = (*tokens + 1.0).min(MAX_TOKENS);
    }

    /// Drops the services and organisations for which `keep` returns false, such as those that are
    /// no longer in the configuration.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, &str) -> bool) {
        for (service, tokens) in &mut self.tokens {
            tokens.retain(|organisation, _| keep(service, organisation));
        }
        self.tokens.retain(|_, tokens| !tokens.is_empty());
    }
}
