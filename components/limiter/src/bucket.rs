use std::collections::VecDeque;

use kernel::{GrantId, Incarnation, Rate, Uptime};

use crate::timing::{GRANT_RESERVATION, REFILL_RATIO};

/// Minimum tokens of a grant; fewer are not worth a message.
const MIN_GRANT: f64 = 0.01;

/// A grant that the requester may still spend.
#[derive(Clone, Debug, PartialEq)]
struct OutstandingGrant {
    requester: Incarnation,
    grant: GrantId,
    tokens: f64,
    settled: bool,
    expires: Uptime,
}

/// Token bucket of the units that this VM holds of one organisation's rate.
///
/// `level` plus the tokens of unsettled grants is at most the units' share of the burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    rate: Rate,
    total_units: u32,
    active_units: u32,
    /// Units that other VMs held before, with the time from which they count: then no grant of
    /// their former holder can be valid any more.
    pending_units: Vec<(Uptime, u32)>,
    expires_at: Uptime,
    /// Whether a lease has ever expired here. From then on no units count as used for the first
    /// time, since they may be units of the expired lease.
    lease_expired: bool,
    level: f64,
    reserved: f64,
    /// Time up to which the refill has been added.
    refilled_at: Uptime,
    /// In order of their expiry.
    outstanding: VecDeque<OutstandingGrant>,
}

impl Bucket {
    /// Creates a bucket without units.
    pub fn new(rate: Rate) -> Self {
        Bucket {
            rate,
            total_units: 1,
            active_units: 0,
            pending_units: Vec::new(),
            expires_at: Uptime::ZERO,
            lease_expired: false,
            level: 0.0,
            reserved: 0.0,
            refilled_at: Uptime::ZERO,
            outstanding: VecDeque::new(),
        }
    }

    fn share(&self, units: u32) -> f64 {
        f64::from(units) / f64::from(self.total_units)
    }

    fn capacity(&self) -> f64 {
        self.rate.burst * self.share(self.active_units)
    }

    /// Refill rate in tokens per second.
    pub fn refill_rate(&self) -> f64 {
        self.rate.per_second * REFILL_RATIO * self.share(self.active_units)
    }

    fn clamp_level(&mut self) {
        self.level = self.level.min(self.capacity() - self.reserved).max(0.0);
    }

    fn refill_until(&mut self, time: Uptime) {
        let elapsed = time.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(time);
        self.level += elapsed * self.refill_rate();
        self.clamp_level();
    }

    /// Brings the bucket up to date. Events since the last call are applied in order of time,
    /// because refill is lost while outstanding grants leave no room for it.
    pub fn advance(&mut self, now: Uptime) {
        loop {
            let expiry = self.outstanding.front().map(|g| g.expires);
            let activation = self.pending_units.first().map(|p| p.0);
            let lease_end = (self.held_units() > 0).then_some(self.expires_at);
            let Some(next) = [expiry, activation, lease_end].into_iter().flatten().min() else {
                break;
            };
            if next > now {
                break;
            }
            self.refill_until(next);
            if lease_end == Some(next) {
                self.remove_units();
            } else if activation == Some(next) {
                self.active_units += self.pending_units.remove(0).1;
            } else if let Some(outstanding) = self.outstanding.pop_front()
                && !outstanding.settled
            {
                self.unreserve(outstanding.tokens);
            }
        }
        self.refill_until(now);
    }

    fn unreserve(&mut self, tokens: f64) {
        self.reserved -= tokens;
        if self.outstanding.iter().all(|g| g.settled) {
            // Rounding errors must not accumulate.
            self.reserved = 0.0;
        }
    }

    fn remove_units(&mut self) {
        self.lease_expired |= self.held_units() > 0;
        self.active_units = 0;
        self.pending_units.clear();
        self.clamp_level();
    }

    /// Units held, including those that do not count yet.
    pub fn held_units(&self) -> u32 {
        self.active_units + self.pending_units.iter().map(|p| p.1).sum::<u32>()
    }

    /// End of the lease of the units.
    pub fn expires_at(&self) -> Uptime {
        self.expires_at
    }

    /// Changes the rate. A lower burst takes effect at once.
    pub fn set_rate(&mut self, now: Uptime, rate: Rate) {
        self.advance(now);
        self.rate = rate;
        self.clamp_level();
    }

    /// Sets the units held until `expires_at`. Added units bring their share of the burst if this
    /// is their `first_use`; otherwise they start empty.
    pub fn set_units(
        &mut self,
        now: Uptime,
        units: u32,
        total: u32,
        expires_at: Uptime,
        first_use: bool,
    ) {
        self.advance(now);
        self.expires_at = expires_at;
        if expires_at <= now {
            self.remove_units();
            return;
        }
        self.total_units = total.max(1);
        let held = self.held_units();
        if units > held && first_use && !self.lease_expired {
            self.active_units += units - held;
            self.level += self.rate.burst * self.share(units - held);
        } else if units > held {
            self.pending_units.push((now + GRANT_RESERVATION, units - held));
        }
        while self.held_units() > units {
            match self.pending_units.last_mut() {
                Some(last) if last.1 > 1 => last.1 -= 1,
                Some(_) => drop(self.pending_units.pop()),
                None => self.active_units = units,
            }
        }
        self.clamp_level();
    }

    /// Tokens that can be taken now.
    pub fn level(&mut self, now: Uptime) -> f64 {
        self.advance(now);
        self.level
    }

    /// Takes up to `tokens` tokens for this VM and returns how many were taken.
    pub fn take(&mut self, now: Uptime, tokens: f64) -> f64 {
        let taken = self.level(now).min(tokens).max(0.0);
        self.level -= taken;
        taken
    }

    /// Debits a grant of up to `tokens` tokens and returns its size. A repeated ask gets the grant
    /// that was debited for it the first time.
    pub fn grant(
        &mut self,
        now: Uptime,
        requester: Incarnation,
        grant: GrantId,
        tokens: f64,
    ) -> f64 {
        self.advance(now);
        if let Some(outstanding) =
            self.outstanding.iter().find(|g| g.requester == requester && g.grant == grant)
        {
            return outstanding.tokens;
        }
        if tokens.min(self.level) < MIN_GRANT {
            return 0.0;
        }
        let tokens = self.take(now, tokens);
        self.reserved += tokens;
        let expires = self.refilled_at + GRANT_RESERVATION;
        self.outstanding.push_back(OutstandingGrant {
            requester,
            grant,
            tokens,
            settled: false,
            expires,
        });
        tokens
    }

    /// Records that a grant is spent except for `unspent` tokens, which return to the bucket.
    pub fn settle(&mut self, now: Uptime, requester: Incarnation, grant: GrantId, unspent: f64) {
        self.advance(now);
        let mut open = self.outstanding.iter_mut().filter(|g| !g.settled);
        let Some(outstanding) = open.find(|g| g.requester == requester && g.grant == grant) else {
            return;
        };
        outstanding.settled = true;
        let tokens = outstanding.tokens;
        self.unreserve(tokens);
        self.level += unspent.max(0.0).min(tokens);
        self.clamp_level();
    }

    /// Time until the bucket has `tokens` tokens or is full.
    pub fn time_until(&mut self, now: Uptime, tokens: f64) -> Uptime {
        let level = self.level(now);
        let missing = (tokens.min(self.capacity()) - level).max(0.0);
        Uptime::try_from_secs_f64(missing / self.refill_rate()).unwrap_or(Uptime::MAX)
    }

    /// Whether no units are held and no grant can be in use.
    pub fn is_idle(&self) -> bool {
        self.held_units() == 0 && self.outstanding.is_empty()
    }
}
