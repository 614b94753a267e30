use std::collections::VecDeque;

use kernel::{GrantId, Incarnation, Rate, Uptime};

use crate::timing::{GRANT_HELD, REFILL};

/// Smaller grants are not worth a message.
const LEAST_GRANT: f64 = 0.01;

/// A grant that may still be in use.
#[derive(Clone, Debug, PartialEq)]
struct Given {
    to: Incarnation,
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
    total: u32,
    units: u32,
    /// Units that were held by others: they count from the time when no grant of their earlier
    /// holder can be valid any more.
    coming: Vec<(Uptime, u32)>,
    until: Uptime,
    /// Whether a lease ever ended here. From then on no units count as fresh, since those that the
    /// lease covered may be among them.
    lapsed: bool,
    level: f64,
    reserved: f64,
    /// Time up to which the bucket is filled.
    at: Uptime,
    /// In order of their expiry.
    given: VecDeque<Given>,
}

impl Bucket {
    /// A bucket without units.
    pub fn new(rate: Rate) -> Self {
        Bucket {
            rate,
            total: 1,
            units: 0,
            coming: Vec::new(),
            until: Uptime::ZERO,
            lapsed: false,
            level: 0.0,
            reserved: 0.0,
            at: Uptime::ZERO,
            given: VecDeque::new(),
        }
    }

    fn share(&self, units: u32) -> f64 {
        f64::from(units) / f64::from(self.total)
    }

    fn cap(&self) -> f64 {
        self.rate.burst * self.share(self.units)
    }

    /// Tokens per second.
    pub fn refill(&self) -> f64 {
        self.rate.per_second * REFILL * self.share(self.units)
    }

    fn clamp(&mut self) {
        self.level = self.level.min(self.cap() - self.reserved).max(0.0);
    }

    fn fill(&mut self, to: Uptime) {
        let elapsed = to.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(to);
        self.level += elapsed * self.refill();
        self.clamp();
    }

    /// Brings the bucket up to date. What happened since the last call is applied in order of
    /// time: refill is lost while outstanding grants leave no room for it.
    pub fn advance(&mut self, now: Uptime) {
        loop {
            let expiry = self.given.front().map(|g| g.expires);
            let coming = self.coming.first().map(|c| c.0);
            let lapse = (self.held() > 0).then_some(self.until);
            let Some(next) = [expiry, coming, lapse].into_iter().flatten().min() else { break };
            if next > now {
                break;
            }
            self.fill(next);
            if lapse == Some(next) {
                self.drop_units();
            } else if coming == Some(next) {
                self.units += self.coming.remove(0).1;
            } else if let Some(given) = self.given.pop_front()
                && !given.settled
            {
                self.unreserve(given.tokens);
            }
        }
        self.fill(now);
    }

    fn unreserve(&mut self, tokens: f64) {
        self.reserved -= tokens;
        if self.given.iter().all(|g| g.settled) {
            // Rounding errors must not add up.
            self.reserved = 0.0;
        }
    }

    fn drop_units(&mut self) {
        self.lapsed |= self.held() > 0;
        self.units = 0;
        self.coming.clear();
        self.clamp();
    }

    /// Units held, those included that do not count yet.
    pub fn held(&self) -> u32 {
        self.units + self.coming.iter().map(|c| c.1).sum::<u32>()
    }

    /// End of the lease of the units.
    pub fn until(&self) -> Uptime {
        self.until
    }

    /// Changes the rate. A lower burst takes effect at once.
    pub fn set_rate(&mut self, now: Uptime, rate: Rate) {
        self.advance(now);
        self.rate = rate;
        self.clamp();
    }

    /// Sets the units held until `until`. Units added as `fresh` bring their share of the burst;
    /// others start empty.
    pub fn set_units(&mut self, now: Uptime, units: u32, total: u32, until: Uptime, fresh: bool) {
        self.advance(now);
        self.until = until;
        if until <= now {
            self.drop_units();
            return;
        }
        self.total = total.max(1);
        let held = self.held();
        if units > held && fresh && !self.lapsed {
            self.units += units - held;
            self.level += self.rate.burst * self.share(units - held);
        } else if units > held {
            self.coming.push((now + GRANT_HELD, units - held));
        }
        while self.held() > units {
            match self.coming.last_mut() {
                Some(last) if last.1 > 1 => last.1 -= 1,
                Some(_) => drop(self.coming.pop()),
                None => self.units = units,
            }
        }
        self.clamp();
    }

    /// Tokens that can be taken now.
    pub fn level(&mut self, now: Uptime) -> f64 {
        self.advance(now);
        self.level
    }

    /// Spends tokens here. Returns how many; at most `tokens`.
    pub fn take(&mut self, now: Uptime, tokens: f64) -> f64 {
        let taken = self.level(now).min(tokens).max(0.0);
        self.level -= taken;
        taken
    }

    /// Debits a grant and returns its tokens; at most `tokens`. A repeated request gets the grant
    /// that was debited for it the first time.
    pub fn grant(&mut self, now: Uptime, to: Incarnation, grant: GrantId, tokens: f64) -> f64 {
        self.advance(now);
        if let Some(given) = self.given.iter().find(|g| g.to == to && g.grant == grant) {
            return given.tokens;
        }
        if tokens.min(self.level) < LEAST_GRANT {
            return 0.0;
        }
        let tokens = self.take(now, tokens);
        self.reserved += tokens;
        let expires = self.at + GRANT_HELD;
        self.given.push_back(Given { to, grant, tokens, settled: false, expires });
        tokens
    }

    /// Takes the report that a grant is spent but for `back` tokens, which are given back.
    pub fn settle(&mut self, now: Uptime, from: Incarnation, grant: GrantId, back: f64) {
        self.advance(now);
        let mut open = self.given.iter_mut().filter(|g| !g.settled);
        let Some(given) = open.find(|g| g.to == from && g.grant == grant) else { return };
        given.settled = true;
        let tokens = given.tokens;
        self.unreserve(tokens);
        self.level += back.max(0.0).min(tokens);
        self.clamp();
    }

    /// Time until the bucket has `tokens` tokens or is full.
    pub fn wait(&mut self, now: Uptime, tokens: f64) -> Uptime {
        let level = self.level(now);
        let missing = (tokens.min(self.cap()) - level).max(0.0);
        Uptime::try_from_secs_f64(missing / self.refill()).unwrap_or(Uptime::MAX)
    }

    /// Whether nothing is held and no grant may be in use.
    pub fn is_idle(&self) -> bool {
        self.held() == 0 && self.given.is_empty()
    }
}
