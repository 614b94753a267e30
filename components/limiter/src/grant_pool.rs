use kernel::{GrantId, Incarnation, Uptime};

use crate::timing::RETURN_MARGIN;

/// A grant that is not fully spent.
#[derive(Clone, Debug, PartialEq)]
struct OpenGrant {
    holder: Incarnation,
    grant: GrantId,
    remaining: f64,
    expires_at: Uptime,
}

/// A grant that is no longer in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SettledGrant {
    /// The holder that granted it.
    pub holder: Incarnation,
    /// Number of the grant.
    pub grant: GrantId,
    /// Tokens that were not spent.
    pub unspent: f64,
}

/// Tokens that holders have granted to this VM.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantPool {
    /// In order of their expiry.
    grants: Vec<OpenGrant>,
}

impl GrantPool {
    /// Adds a grant that is valid until `expires_at`.
    pub fn add(&mut self, holder: Incarnation, grant: GrantId, tokens: f64, expires_at: Uptime) {
        let index = self.grants.partition_point(|g| g.expires_at <= expires_at);
        self.grants.insert(index, OpenGrant { holder, grant, remaining: tokens, expires_at });
    }

    /// Tokens that are valid now.
    pub fn available(&self, now: Uptime) -> f64 {
        self.grants.iter().filter(|g| now < g.expires_at).map(|g| g.remaining).sum()
    }

    /// Takes up to `tokens` tokens, from the grants that expire first. Returns how many were taken
    /// and adds the grants that are fully spent to `settled`.
    pub fn take(&mut self, now: Uptime, tokens: f64, settled: &mut Vec<SettledGrant>) -> f64 {
        let mut taken = 0.0;
        for grant in self.grants.iter_mut().filter(|g| now < g.expires_at) {
            let part = grant.remaining.min(tokens - taken);
            grant.remaining -= part;
            taken += part;
            if grant.remaining == 0.0 {
                settled.push(SettledGrant {
                    holder: grant.holder,
                    grant: grant.grant,
                    unspent: 0.0,
                });
            }
        }
        self.grants.retain(|g| g.remaining > 0.0);
        taken
    }

    /// Removes the grants that are about to expire, and adds the valid ones to `settled` so that
    /// their tokens can be returned.
    pub fn remove_expiring(&mut self, now: Uptime, settled: &mut Vec<SettledGrant>) {
        self.grants.retain(|g| {
            let expiring = now + RETURN_MARGIN >= g.expires_at;
            if expiring && now < g.expires_at {
                settled.push(SettledGrant {
                    holder: g.holder,
                    grant: g.grant,
                    unspent: g.remaining,
                });
            }
            !expiring
        });
    }

    /// Scales all tokens, after the burst was lowered.
    pub fn scale(&mut self, factor: f64) {
        for grant in &mut self.grants {
            grant.remaining *= factor;
        }
    }

    /// Whether there are no grants.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
