use std::collections::HashMap;
use std::time::Duration;

use kernel::{
    Admission, GrantId, Incarnation, LimiterAction, LimiterMessage, OrganisationId, Rate, Uptime,
};

use crate::demand::Demand;
use crate::grant_pool::SettledGrant;
use crate::sources::Sources;
use crate::timing::{NO_UNITS_DELAY, PREFETCH_TIME, SURPLUS_RELEASE_DELAY};
use crate::{Bucket, GrantPool, RATE_UNITS, Ranking};

/// Maximum holders that are asked at the same time while they grant what they are asked for.
const MAX_PARALLEL_ASKS: f64 = 4.0;

/// Additional holders that are asked for smaller amounts while grants come back empty. Small
/// amounts drain the holders evenly, so that none of them is full while others are empty.
const MAX_EXTRA_ASKS: f64 = 4.0;

/// Minimum tokens of an ask: holders do not grant the tiny remainder that a sum of fractions
/// misses.
const MIN_ASK: f64 = 0.1;

/// Time for which a report of settled grants waits for an ask to the same holder.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// Bounds of the backoff between two claims of units. The minimum is also the longest time that
/// requests wait for the outcome of a claim.
const MIN_CLAIM_BACKOFF: Duration = Duration::from_secs(1);
const MAX_CLAIM_BACKOFF: Duration = Duration::from_secs(32);

/// Bounds of the time after which a holder without tokens is asked again.
const MIN_RETRY: Duration = Duration::from_millis(50);
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Requests that may wait even if no holder has tokens, as seconds of the rate at which requests
/// get tokens.
const BASE_QUEUE_S: f64 = 0.5;

/// Interval of the polls of organisations that only hold units.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time without use after which an organisation's limiter is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(30);

/// Limiter of one organisation on one VM: its bucket if the VM holds units, and the tokens granted
/// by other VMs.
#[derive(Clone, Debug)]
pub(crate) struct OrganisationLimiter {
    this_vm: Incarnation,
    organisation: OrganisationId,
    rate: Rate,
    ranking: Ranking,
    bucket: Bucket,
    pool: GrantPool,
    sources: Sources,
    demand: Demand,
    /// Reports of settled grants by holder, and when the oldest was added.
    reports: HashMap<Incarnation, (Uptime, Vec<(GrantId, f64)>)>,
    /// Whether tokens were requested since the last claim.
    tokens_wanted: bool,
    last_claim: Option<Uptime>,
    claim_backoff: Duration,
    /// Maximum units that are accepted until the release of the others is confirmed.
    releasing: Option<u32>,
    surplus_since: Option<Uptime>,
    /// When the lease of the units was last extended.
    last_renewal: Uptime,
    last_used: Uptime,
    /// Time of the next poll if there is no event before.
    next_poll: Uptime,
}

impl OrganisationLimiter {
    pub(crate) fn new(
        now: Uptime,
        this_vm: Incarnation,
        organisation: &str,
        rate: Rate,
        vms: &[Incarnation],
    ) -> Self {
        OrganisationLimiter {
            this_vm,
            organisation: organisation.into(),
            rate,
            ranking: Ranking::new(organisation, rate, vms),
            bucket: Bucket::new(rate),
            pool: GrantPool::default(),
            sources: Sources::default(),
            demand: Demand::default(),
            reports: HashMap::new(),
            tokens_wanted: false,
            last_claim: None,
            claim_backoff: MIN_CLAIM_BACKOFF,
            releasing: None,
            surplus_since: None,
            last_renewal: now,
            last_used: now,
            next_poll: now,
        }
    }

    pub(crate) fn set_rate(&mut self, now: Uptime, rate: Rate, vms: &[Incarnation]) {
        self.bucket.set_rate(now, rate);
        if rate.burst < self.rate.burst {
            self.pool.scale(rate.burst / self.rate.burst);
        }
        self.rate = rate;
        self.set_vms(vms);
    }

    pub(crate) fn set_vms(&mut self, vms: &[Incarnation]) {
        self.ranking = Ranking::new(&self.organisation, self.rate, vms);
        self.sources.retain(&self.ranking);
    }

    pub(crate) fn set_units(
        &mut self,
        now: Uptime,
        units: u32,
        total: u32,
        expires_at: Uptime,
        first_use: bool,
    ) {
        let max_units = self.releasing.unwrap_or(u32::MAX);
        if units <= max_units {
            self.releasing = None;
        }
        if expires_at > self.bucket.expires_at() {
            self.last_renewal = now;
        }
        let units = units.min(max_units);
        self.bucket.advance(now);
        if units > self.bucket.held_units() {
            self.last_claim = None;
            self.claim_backoff = MIN_CLAIM_BACKOFF;
        }
        self.bucket.set_units(now, units, total, expires_at, first_use);
        self.last_used = now;
    }

    fn quota(&self) -> u32 {
        if self.rate.burst > 0.0 { self.ranking.quota(self.this_vm) } else { 0 }
    }

    /// Takes one token if the grants and the bucket together have a whole one.
    fn spend_token(&mut self, now: Uptime) -> bool {
        let granted = self.pool.available(now);
        if granted + self.bucket.level(now) < 1.0 {
            return false;
        }
        let mut settled = Vec::new();
        let taken = self.pool.take(now, 1.0, &mut settled);
        self.bucket.take(now, 1.0 - taken);
        self.queue_reports(now, settled);
        true
    }

    fn queue_reports(&mut self, now: Uptime, settled: Vec<SettledGrant>) {
        for s in settled {
            let reports = self.reports.entry(s.holder).or_insert_with(|| (now, Vec::new()));
            reports.1.push((s.grant, s.unspent));
        }
    }

    pub(crate) fn admit(&mut self, now: Uptime) -> Admission {
        self.last_used = now;
        self.tokens_wanted = true;
        self.demand.record_arrival(now);
        if self.spend_token(now) {
            self.demand.record_served();
            return Admission::Admitted;
        }
        let (_, waiting) = self.demand.measure(now);
        if (waiting as f64) < self.max_waiting(now) {
            return Admission::Wait(self.demand.start_wait(now));
        }
        let next_ask = self.sources.next_ask(&self.ranking, self.this_vm);
        let until_ask = next_ask.map_or(Uptime::MAX, |at| at.saturating_sub(now));
        let retry = until_ask.min(self.bucket.time_until(now, 1.0));
        Admission::Refused(retry.clamp(MIN_RETRY, 10 * MAX_RETRY))
    }

    /// Maximum number of waiting requests: those for which tokens can be expected soon from the
    /// shares of the holders that are not known to be empty, and `BASE_QUEUE_S`.
    fn max_waiting(&mut self, now: Uptime) -> f64 {
        let candidates = self.sources.candidates(now, &self.ranking, self.this_vm, false).len();
        let mut share_count = (candidates + self.sources.expected().1) as f64;
        if self.expects_units(now) {
            share_count += 1.0;
        }
        let burst_share = self.rate.burst / f64::from(self.ranking.holders().max(1));
        (share_count * burst_share).ceil() + BASE_QUEUE_S * self.demand.served_rate(now)
    }

    /// Whether a claim may still bring units.
    fn expects_units(&self, now: Uptime) -> bool {
        let missing = self.quota() > self.bucket.held_units() && self.releasing.is_none();
        missing && self.last_claim.is_none_or(|at| now < at + MIN_CLAIM_BACKOFF)
    }

    pub(crate) fn receive(
        &mut self,
        now: Uptime,
        from: Incarnation,
        message: LimiterMessage,
    ) -> Option<LimiterAction> {
        self.last_used = now;
        match message {
            LimiterMessage::Ask { grant, tokens, settled, .. } => {
                for (grant, unspent) in settled {
                    self.bucket.settle(now, from, grant, unspent);
                }
                (tokens > 0.0).then(|| self.answer_ask(now, from, grant, tokens))
            }
            LimiterMessage::Grant { grant, tokens, retry, .. } => {
                let granted = self.sources.record_grant(now, from, grant, tokens, retry);
                if let Some((tokens, expires_at)) = granted
                    && now < expires_at
                    && tokens > 0.0
                {
                    self.pool.add(from, grant, tokens, expires_at);
                }
                None
            }
        }
    }

    fn answer_ask(
        &mut self,
        now: Uptime,
        from: Incarnation,
        grant: GrantId,
        tokens: f64,
    ) -> LimiterAction {
        self.tokens_wanted = true;
        let granted = self.bucket.grant(now, from, grant, tokens);
        let retry = if self.bucket.held_units() > 0 {
            self.bucket.time_until(now, (tokens - granted).min(1.0)).clamp(MIN_RETRY, MAX_RETRY)
        } else if self.expects_units(now) {
            MIN_RETRY
        } else {
            NO_UNITS_DELAY
        };
        let organisation = self.organisation.clone();
        let message = LimiterMessage::Grant { organisation, grant, tokens: granted, retry };
        LimiterAction::Send { to: from, message }
    }

    pub(crate) fn poll(
        &mut self,
        now: Uptime,
        last_grant: &mut GrantId,
        actions: &mut Vec<LimiterAction>,
    ) {
        self.bucket.advance(now);
        self.sources.advance(now);
        let mut settled = Vec::new();
        self.pool.remove_expiring(now, &mut settled);
        self.queue_reports(now, settled);
        self.send_asks(now, last_grant, actions);
        self.send_reports(now, actions);
        self.claim_units(now, actions);
        self.release_surplus(now, actions);
        self.next_poll = if self.is_busy(now) { now } else { now + IDLE_POLL_INTERVAL };
    }

    /// Whether the passing of time alone may soon lead to an action.
    fn is_busy(&mut self, now: Uptime) -> bool {
        let (arrival_rate, waiting) = self.demand.measure(now);
        waiting > 0
            || self.prefetch_target(arrival_rate) > 0.0
            || !self.pool.is_empty()
            || !self.sources.is_idle()
            || !self.reports.is_empty()
    }

    /// Whether a poll is due although there was no event.
    pub(crate) fn is_due(&self, now: Uptime) -> bool {
        self.next_poll <= now
    }

    /// Number of tokens to hold beyond those for the waiting requests.
    fn prefetch_target(&mut self, arrival_rate: f64) -> f64 {
        let max_target = self.rate.burst / 4.0;
        // Tokens that one VM holds in advance are missing on VMs where requests wait.
        let target = arrival_rate * PREFETCH_TIME.as_secs_f64() * (1.0 - self.sources.scarcity());
        if target >= 1.0 { target.min(max_target) } else { 0.0 }
    }

    fn send_asks(
        &mut self,
        now: Uptime,
        last_grant: &mut GrantId,
        actions: &mut Vec<LimiterAction>,
    ) {
        let (arrival_rate, waiting) = self.demand.measure(now);
        let waiting = waiting as f64;
        let target = self.prefetch_target(arrival_rate);
        let available =
            self.pool.available(now) + self.bucket.level(now) + self.sources.expected().0;
        if available >= waiting + target / 2.0 {
            return;
        }
        let missing = (waiting + target - available).max(MIN_ASK);
        let burst_share = self.rate.burst / f64::from(self.ranking.holders().max(1));
        let ask_count =
            (missing / (burst_share / 2.0).max(1.0)).ceil().clamp(1.0, MAX_PARALLEL_ASKS);
        let ask_count = ask_count + (MAX_EXTRA_ASKS * self.sources.scarcity()).round();
        let mut holders = self.sources.candidates(now, &self.ranking, self.this_vm, false);
        if holders.is_empty() && waiting > 0.0 {
            holders = self.sources.candidates(now, &self.ranking, self.this_vm, true);
        }
        holders.truncate(ask_count as usize);
        let tokens = missing / holders.len() as f64;
        for holder in holders {
            *last_grant += 1;
            self.sources.record_ask(now, holder, *last_grant, tokens);
            self.send_ask(holder, *last_grant, tokens, actions);
        }
    }

    fn send_ask(
        &mut self,
        to: Incarnation,
        grant: GrantId,
        tokens: f64,
        actions: &mut Vec<LimiterAction>,
    ) {
        let settled = self.reports.remove(&to).map(|s| s.1).unwrap_or_default();
        let organisation = self.organisation.clone();
        let message = LimiterMessage::Ask { organisation, grant, tokens, settled };
        actions.push(LimiterAction::Send { to, message });
    }

    fn send_reports(&mut self, now: Uptime, actions: &mut Vec<LimiterAction>) {
        let due = self.reports.iter().filter(|(_, s)| now >= s.0 + REPORT_DELAY);
        let mut due: Vec<Incarnation> = due.map(|(holder, _)| *holder).collect();
        due.sort_unstable();
        for holder in due {
            self.send_ask(holder, 0, 0.0, actions);
        }
    }

    fn claim_units(&mut self, now: Uptime, actions: &mut Vec<LimiterAction>) {
        let missing = self.quota() > self.bucket.held_units() && self.releasing.is_none();
        if !missing
            || !self.tokens_wanted
            || self.last_claim.is_some_and(|at| now < at + self.claim_backoff)
        {
            return;
        }
        if self.last_claim.is_some() {
            self.claim_backoff = (self.claim_backoff * 2).min(MAX_CLAIM_BACKOFF);
        }
        self.last_claim = Some(now);
        self.tokens_wanted = false;
        let (organisation, units) = (self.organisation.clone(), self.quota());
        actions.push(LimiterAction::Claim { organisation, units });
    }

    /// Releases units that other VMs should hold, except while the store seems unreachable, because
    /// no VM could claim them then.
    fn release_surplus(&mut self, now: Uptime, actions: &mut Vec<LimiterAction>) {
        let quota = self.quota();
        if self.bucket.held_units() <= quota || now > self.last_renewal + SURPLUS_RELEASE_DELAY {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now < since + SURPLUS_RELEASE_DELAY {
            return;
        }
        self.surplus_since = None;
        let expires_at = self.bucket.expires_at();
        self.bucket.set_units(now, quota, RATE_UNITS, expires_at, false);
        self.releasing = Some(quota);
        let organisation = self.organisation.clone();
        actions.push(LimiterAction::Release { organisation, units: quota });
    }

    /// Whether the limiter can be removed without losing state.
    pub(crate) fn is_idle(&self, now: Uptime) -> bool {
        now > self.last_used + REMOVE_AFTER
            && self.releasing.is_none()
            && self.bucket.is_idle()
            && self.pool.is_empty()
            && self.sources.is_idle()
            && self.reports.is_empty()
    }
}
