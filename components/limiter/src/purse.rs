use kernel::{GrantId, Incarnation, Uptime};

use crate::timing::GIVE_BACK;

/// What is left of a grant.
#[derive(Clone, Debug, PartialEq)]
struct InHand {
    holder: Incarnation,
    grant: GrantId,
    left: f64,
    until: Uptime,
}

/// A grant that is not in use any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settled {
    /// Holder that gave it.
    pub holder: Incarnation,
    /// Its number.
    pub grant: GrantId,
    /// Tokens that were not spent.
    pub back: f64,
}

/// Tokens that holders have granted to this VM.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Purse {
    /// In order of their validity.
    grants: Vec<InHand>,
}

impl Purse {
    /// Adds a grant that is valid until `until`.
    pub fn add(&mut self, holder: Incarnation, grant: GrantId, tokens: f64, until: Uptime) {
        let place = self.grants.partition_point(|g| g.until <= until);
        self.grants.insert(place, InHand { holder, grant, left: tokens, until });
    }

    /// Tokens that are valid now.
    pub fn available(&self, now: Uptime) -> f64 {
        self.grants.iter().filter(|g| now < g.until).map(|g| g.left).sum()
    }

    /// Spends tokens, the oldest first. Returns how many; at most `tokens`.
    pub fn take(&mut self, now: Uptime, tokens: f64, settled: &mut Vec<Settled>) -> f64 {
        let mut taken = 0.0;
        for grant in self.grants.iter_mut().filter(|g| now < g.until) {
            let part = grant.left.min(tokens - taken);
            grant.left -= part;
            taken += part;
            if grant.left == 0.0 {
                settled.push(Settled { holder: grant.holder, grant: grant.grant, back: 0.0 });
            }
        }
        self.grants.retain(|g| g.left > 0.0);
        taken
    }

    /// Takes out the grants that are about to become invalid, to give their tokens back.
    pub fn retire(&mut self, now: Uptime, settled: &mut Vec<Settled>) {
        self.grants.retain(|g| {
            let old = now + GIVE_BACK >= g.until;
            if old && now < g.until {
                settled.push(Settled { holder: g.holder, grant: g.grant, back: g.left });
            }
            !old
        });
    }

    /// Scales all tokens, after the burst was lowered.
    pub fn scale(&mut self, factor: f64) {
        for grant in &mut self.grants {
            grant.left *= factor;
        }
    }

    /// Whether no grant is in hand.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
