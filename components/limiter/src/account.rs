use std::collections::HashMap;
use std::time::Duration;

use kernel::{
    Admission, GrantId, Incarnation, LimiterAction, LimiterMessage, OrganisationId, Rate, Uptime,
};

use crate::demand::Demand;
use crate::purse::Settled;
use crate::sources::Sources;
use crate::timing::{NO_UNITS, PREFETCH, SURPLUS};
use crate::{Bucket, Purse, RATE_UNITS, Ranking};

/// Holders that are asked at once while they grant what they are asked for.
const PARALLEL: f64 = 4.0;

/// Further holders that are asked at once, for smaller parts, when grants come back empty. Small
/// parts drain the holders evenly, so that none of them is full while others are empty.
const PARALLEL_SCARCE: f64 = 4.0;

/// Smaller asks are rounded up: holders do not grant the last bit that a sum of fractions misses.
const LEAST_ASK: f64 = 0.1;

/// Reports of spent grants wait this long for an ask to the same holder.
const REPORT_AFTER: Duration = Duration::from_millis(20);

/// Least and greatest pause between two claims of units, and the longest that requests wait for
/// the outcome of one.
const CLAIM_PAUSES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(32));

/// Bounds of the time after which a holder without tokens is asked again.
const RETRY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Time of supply that may wait when no holder has tokens.
const QUEUE_S: f64 = 0.5;

/// Accounts that merely hold units are visited this often.
const REST: Duration = Duration::from_secs(1);

/// An account that has not been used for this long is dropped.
const IDLE: Duration = Duration::from_secs(30);

/// One organisation on one VM: its bucket if the VM holds units, and the tokens granted by others.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    me: Incarnation,
    name: OrganisationId,
    rate: Rate,
    ranking: Ranking,
    bucket: Bucket,
    purse: Purse,
    sources: Sources,
    demand: Demand,
    /// Reports by holder, and when the oldest was added.
    settled: HashMap<Incarnation, (Uptime, Vec<(GrantId, f64)>)>,
    /// Whether tokens were wanted since the last claim.
    wanted: bool,
    claimed: Option<Uptime>,
    pause: Duration,
    /// Most units taken until the release of the others is confirmed.
    releasing: Option<u32>,
    surplus: Option<Uptime>,
    /// When the lease of the units was last extended.
    renewed: Uptime,
    used: Uptime,
    /// Next visit if nothing happens before.
    due: Uptime,
}

impl Account {
    pub(crate) fn new(
        now: Uptime,
        me: Incarnation,
        name: &str,
        rate: Rate,
        vms: &[Incarnation],
    ) -> Self {
        Account {
            me,
            name: name.into(),
            rate,
            ranking: Ranking::new(name, rate, vms),
            bucket: Bucket::new(rate),
            purse: Purse::default(),
            sources: Sources::default(),
            demand: Demand::default(),
            settled: HashMap::new(),
            wanted: false,
            claimed: None,
            pause: CLAIM_PAUSES.0,
            releasing: None,
            surplus: None,
            renewed: now,
            used: now,
            due: now,
        }
    }

    pub(crate) fn set_rate(&mut self, now: Uptime, rate: Rate, vms: &[Incarnation]) {
        self.bucket.set_rate(now, rate);
        if rate.burst < self.rate.burst {
            self.purse.scale(rate.burst / self.rate.burst);
        }
        self.rate = rate;
        self.set_vms(vms);
    }

    pub(crate) fn set_vms(&mut self, vms: &[Incarnation]) {
        self.ranking = Ranking::new(&self.name, self.rate, vms);
        self.sources.retain(&self.ranking);
    }

    pub(crate) fn set_units(
        &mut self,
        now: Uptime,
        units: u32,
        total: u32,
        until: Uptime,
        fresh: bool,
    ) {
        let most = self.releasing.unwrap_or(u32::MAX);
        if units <= most {
            self.releasing = None;
        }
        if until > self.bucket.until() {
            self.renewed = now;
        }
        let units = units.min(most);
        self.bucket.advance(now);
        if units > self.bucket.held() {
            self.claimed = None;
            self.pause = CLAIM_PAUSES.0;
        }
        self.bucket.set_units(now, units, total, until, fresh);
        self.used = now;
    }

    fn quota(&self) -> u32 {
        if self.rate.burst > 0.0 { self.ranking.quota(self.me) } else { 0 }
    }

    /// Takes one token if there is a whole one, in hand or in the own bucket.
    fn spend(&mut self, now: Uptime) -> bool {
        let in_hand = self.purse.available(now);
        if in_hand + self.bucket.level(now) < 1.0 {
            return false;
        }
        let mut settled = Vec::new();
        let taken = self.purse.take(now, 1.0, &mut settled);
        self.bucket.take(now, 1.0 - taken);
        self.report(now, settled);
        true
    }

    fn report(&mut self, now: Uptime, settled: Vec<Settled>) {
        for s in settled {
            let reports = self.settled.entry(s.holder).or_insert_with(|| (now, Vec::new()));
            reports.1.push((s.grant, s.back));
        }
    }

    pub(crate) fn admit(&mut self, now: Uptime) -> Admission {
        self.used = now;
        self.wanted = true;
        self.demand.arrive(now);
        if self.spend(now) {
            self.demand.served();
            return Admission::Admitted;
        }
        let (_, waiting) = self.demand.measure(now);
        if (waiting as f64) < self.patience(now) {
            return Admission::Wait(self.demand.wait(now));
        }
        let next = self.sources.next(&self.ranking, self.me);
        let asked = next.map_or(Uptime::MAX, |next| next.saturating_sub(now));
        let retry = asked.min(self.bucket.wait(now, 1.0));
        Admission::Refused(retry.clamp(RETRY.0, 10 * RETRY.1))
    }

    /// Number of requests for which tokens can be expected soon: what holders that are not known
    /// to be empty may have, and what arrives in a short while.
    fn patience(&mut self, now: Uptime) -> f64 {
        let ready = self.sources.ready(now, &self.ranking, self.me, false).len();
        let mut shares = (ready + self.sources.expected().1) as f64;
        if self.claiming(now) {
            shares += 1.0;
        }
        let share = self.rate.burst / f64::from(self.ranking.holders().max(1));
        (shares * share).ceil() + QUEUE_S * self.demand.supply(now)
    }

    /// Whether a claim may still bring units.
    fn claiming(&self, now: Uptime) -> bool {
        let missing = self.quota() > self.bucket.held() && self.releasing.is_none();
        missing && self.claimed.is_none_or(|at| now < at + CLAIM_PAUSES.0)
    }

    pub(crate) fn receive(
        &mut self,
        now: Uptime,
        from: Incarnation,
        message: LimiterMessage,
    ) -> Option<LimiterAction> {
        self.used = now;
        match message {
            LimiterMessage::Ask { grant, tokens, settled, .. } => {
                for (grant, back) in settled {
                    self.bucket.settle(now, from, grant, back);
                }
                (tokens > 0.0).then(|| self.answer(now, from, grant, tokens))
            }
            LimiterMessage::Grant { grant, tokens, retry, .. } => {
                let granted = self.sources.granted(now, from, grant, tokens, retry);
                if let Some((tokens, until)) = granted
                    && now < until
                    && tokens > 0.0
                {
                    self.purse.add(from, grant, tokens, until);
                }
                None
            }
        }
    }

    fn answer(
        &mut self,
        now: Uptime,
        from: Incarnation,
        grant: GrantId,
        tokens: f64,
    ) -> LimiterAction {
        self.wanted = true;
        let granted = self.bucket.grant(now, from, grant, tokens);
        let retry = if self.bucket.held() > 0 {
            self.bucket.wait(now, (tokens - granted).min(1.0)).clamp(RETRY.0, RETRY.1)
        } else if self.claiming(now) {
            RETRY.0
        } else {
            NO_UNITS
        };
        let organisation = self.name.clone();
        let message = LimiterMessage::Grant { organisation, grant, tokens: granted, retry };
        LimiterAction::Send { to: from, message }
    }

    pub(crate) fn poll(
        &mut self,
        now: Uptime,
        next: &mut GrantId,
        actions: &mut Vec<LimiterAction>,
    ) {
        self.bucket.advance(now);
        self.sources.advance(now);
        let mut settled = Vec::new();
        self.purse.retire(now, &mut settled);
        self.report(now, settled);
        self.ask(now, next, actions);
        self.flush(now, actions);
        self.claim(now, actions);
        self.lower(now, actions);
        self.due = if self.is_busy(now) { now } else { now + REST };
    }

    /// Whether time alone may lead to an action soon.
    fn is_busy(&mut self, now: Uptime) -> bool {
        let (per_second, waiting) = self.demand.measure(now);
        waiting > 0
            || self.aim(per_second) > 0.0
            || !self.purse.is_empty()
            || !self.sources.is_idle()
            || !self.settled.is_empty()
    }

    /// Whether the account has to be visited although nothing has happened to it.
    pub(crate) fn is_due(&self, now: Uptime) -> bool {
        self.due <= now
    }

    /// Tokens to have in hand beyond those for the requests that wait.
    fn aim(&mut self, per_second: f64) -> f64 {
        let most = self.rate.burst / 4.0;
        // What one VM has in hand is missing where requests wait.
        let aim = per_second * PREFETCH.as_secs_f64() * (1.0 - self.sources.scarcity());
        if aim >= 1.0 { aim.min(most) } else { 0.0 }
    }

    fn ask(&mut self, now: Uptime, next: &mut GrantId, actions: &mut Vec<LimiterAction>) {
        let (per_second, waiting) = self.demand.measure(now);
        let waiting = waiting as f64;
        let aim = self.aim(per_second);
        let have = self.purse.available(now) + self.bucket.level(now) + self.sources.expected().0;
        if have >= waiting + aim / 2.0 {
            return;
        }
        let want = (waiting + aim - have).max(LEAST_ASK);
        let share = self.rate.burst / f64::from(self.ranking.holders().max(1));
        let parts = (want / (share / 2.0).max(1.0)).ceil().clamp(1.0, PARALLEL);
        let parts = parts + (PARALLEL_SCARCE * self.sources.scarcity()).round();
        let mut holders = self.sources.ready(now, &self.ranking, self.me, false);
        if holders.is_empty() && waiting > 0.0 {
            holders = self.sources.ready(now, &self.ranking, self.me, true);
        }
        holders.truncate(parts as usize);
        let tokens = want / holders.len() as f64;
        for holder in holders {
            *next += 1;
            self.sources.ask(now, holder, *next, tokens);
            self.send(holder, *next, tokens, actions);
        }
    }

    fn send(
        &mut self,
        to: Incarnation,
        grant: GrantId,
        tokens: f64,
        actions: &mut Vec<LimiterAction>,
    ) {
        let settled = self.settled.remove(&to).map(|s| s.1).unwrap_or_default();
        let organisation = self.name.clone();
        let message = LimiterMessage::Ask { organisation, grant, tokens, settled };
        actions.push(LimiterAction::Send { to, message });
    }

    fn flush(&mut self, now: Uptime, actions: &mut Vec<LimiterAction>) {
        let due = self.settled.iter().filter(|(_, s)| now >= s.0 + REPORT_AFTER);
        let mut due: Vec<Incarnation> = due.map(|(holder, _)| *holder).collect();
        due.sort_unstable();
        for holder in due {
            self.send(holder, 0, 0.0, actions);
        }
    }

    fn claim(&mut self, now: Uptime, actions: &mut Vec<LimiterAction>) {
        let missing = self.quota() > self.bucket.held() && self.releasing.is_none();
        if !missing || !self.wanted || self.claimed.is_some_and(|at| now < at + self.pause) {
            return;
        }
        if self.claimed.is_some() {
            self.pause = (self.pause * 2).min(CLAIM_PAUSES.1);
        }
        self.claimed = Some(now);
        self.wanted = false;
        let (organisation, units) = (self.name.clone(), self.quota());
        actions.push(LimiterAction::Claim { organisation, units });
    }

    /// Gives up units that other VMs should hold, unless the store seems to be away: nobody could
    /// take them then.
    fn lower(&mut self, now: Uptime, actions: &mut Vec<LimiterAction>) {
        let quota = self.quota();
        if self.bucket.held() <= quota || now > self.renewed + SURPLUS {
            self.surplus = None;
            return;
        }
        let since = *self.surplus.get_or_insert(now);
        if now < since + SURPLUS {
            return;
        }
        self.surplus = None;
        let until = self.bucket.until();
        self.bucket.set_units(now, quota, RATE_UNITS, until, false);
        self.releasing = Some(quota);
        let organisation = self.name.clone();
        actions.push(LimiterAction::Release { organisation, units: quota });
    }

    /// Whether nothing would be lost with this account.
    pub(crate) fn is_idle(&self, now: Uptime) -> bool {
        now > self.used + IDLE
            && self.releasing.is_none()
            && self.bucket.is_idle()
            && self.purse.is_empty()
            && self.sources.is_idle()
            && self.settled.is_empty()
    }
}
