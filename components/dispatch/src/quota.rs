use std::collections::HashMap;
use std::time::Duration;

use kernel::{OrganisationId, Rate, Uptime};

use crate::short_hash;

/// Time constant of the demand estimate.
const DEMAND: Duration = Duration::from_millis(1500);
/// Age after which the demand that another VM reported counts no more.
const REPORT_AGE: Duration = Duration::from_millis(3500);
/// Part of its even part of a burst that a process holds at its start: what others have spent just
/// before is not known, but while a process starts it admits nothing.
const START: f64 = 0.6;
/// Requests that a process holds at its start at least: a small organisation's part of a burst is
/// less than one, and its callers come back all at once.
const START_LEAST: f64 = 2.5;
/// Part of the slack that may fill up to that.
const START_SLACK: f64 = 0.35;
/// Least and largest part of the slack that VMs use to refuse nothing within a rate while their
/// parts follow the demand; the rest covers steps of demand, and VMs that start, stop or take over.
const USED: (f64, f64) = (0.2, 0.45);
/// Part of the slack that is used for a rate near 0, and the rate a second at which none would be:
/// a step of demand needs slack in proportion to the rate.
const USED_LINE: (f64, f64) = (0.55, 33.0);
/// Demand that each VM is taken to have besides, as a part of the rate: without any, every VM would
/// own the whole burst.
const PRIOR: f64 = 0.1;
/// Part by which a pressing demand has to change to be reported again.
const CHANGED: f64 = 0.1;
/// Ratio by which a VM's demand counts above what the others know of it.
const GROWTH: f64 = 1.25;
/// Requests a second up to which a VM's demand counts although the others do not know of it: about
/// one request within `DEMAND`, which a small organisation's few requests need.
const UNREPORTED: f64 = 0.6;
/// Part of its rate from which an organisation's demand is reported at all.
const REPORTED: f64 = 0.03;
/// Part of its rate from which an organisation's demand is reported often.
const PRESSING: f64 = 0.22;

/// What a quota says to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// Within the rate.
    Admitted,
    /// Above the rate; a token can be expected after this time.
    Refused(Duration),
}

#[derive(Clone, Debug)]
struct Account {
    rate: Rate,
    tokens: f64,
    /// Requests of the slack that were given at the start of the process, once. Not negative.
    reserve: f64,
    at: Uptime,
    /// Requests asked for a second, over `DEMAND`.
    demand: f64,
    /// Demand that the other VMs know of; 0 if it was too small to report.
    reported: f64,
    asked: Uptime,
}

impl Account {
    fn new(now: Uptime, rate: Rate, tokens: f64, reserve: f64) -> Self {
        Account { rate, tokens, reserve, at: now, demand: 0.0, reported: 0.0, asked: now }
    }

    /// Spends one request, of the reserve only what the tokens lack.
    fn spend(&mut self) {
        let lack = (1.0 - self.tokens.max(0.0)).clamp(0.0, self.reserve);
        self.reserve -= lack;
        self.tokens -= 1.0 - lack;
    }

    fn demand(&self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.asked).as_secs_f64();
        self.demand * (-age / DEMAND.as_secs_f64()).exp()
    }
}

/// Part of the slack that VMs use for an organisation's rate.
fn used_slack(rate: f64) -> f64 {
    let (most, none_at) = USED_LINE;
    (most * (1.0 - rate / none_at)).clamp(USED.0, USED.1)
}

/// Admits requests within the rates of organisations. Each VM owns the part of a rate that its
/// demand is of the demand of all VMs, which report theirs to each other.
///
/// Answers an organisation that sends many times its usual, through a few VMs or all: parts follow
/// demand within a second, and the sum of the parts is the rate.
#[derive(Debug, Default)]
pub struct Quota {
    accounts: HashMap<OrganisationId, Account>,
    /// Demand by VM and organisation, with the time of the report.
    reports: HashMap<u64, (Uptime, HashMap<u32, f64>)>,
    /// Usual number of VMs that serve at once.
    servers: f64,
    /// Requests in a window that all VMs together may admit beyond a rate and burst.
    slack: f64,
    configured: bool,
}

impl Quota {
    /// Sets the rates, the usual number of VMs that serve at once, and how many requests they may
    /// admit together beyond a rate and burst.
    pub fn configure<'a>(
        &mut self,
        now: Uptime,
        rates: impl Iterator<Item = (&'a OrganisationId, Option<Rate>)>,
        servers: usize,
        slack: f64,
    ) {
        self.servers = servers.max(1) as f64;
        self.slack = slack;
        // A process that starts cannot know what others have spent just before.
        let first = !std::mem::replace(&mut self.configured, true);
        let mut accounts = HashMap::new();
        for (id, rate) in rates {
            let Some(rate) = rate else { continue };
            let account = match self.accounts.remove(id) {
                Some(old) => Account { tokens: old.tokens.min(rate.burst), rate, ..old },
                None if first => {
                    let tokens = START * rate.burst / self.servers;
                    let most = START_SLACK * slack / self.servers;
                    Account::new(now, rate, tokens, (START_LEAST - tokens).clamp(0.0, most))
                }
                None => Account::new(now, rate, rate.burst / self.servers, 0.0),
            };
            accounts.insert(id.clone(), account);
        }
        self.accounts = accounts;
    }

    /// Part of an organisation's rate that this VM may use now. In [0, 1].
    fn part(&self, now: Uptime, id: &str, rate: f64, own: f64) -> f64 {
        let hash = short_hash(id);
        let mut others = 0.0;
        let mut heard = 0.0;
        for (at, demands) in self.reports.values() {
            if now.saturating_sub(*at) < REPORT_AGE {
                heard += 1.0;
                others += demands.get(&hash).copied().unwrap_or(0.0);
            }
        }
        // VMs that serve and are not heard keep an even part.
        let silent = (self.servers - 1.0 - heard).max(0.0) / self.servers;
        let prior = PRIOR * rate / (heard + 1.0);
        (own + prior) / (own + others + prior * (heard + 1.0)) * (1.0 - silent)
    }

    /// Asks to admit one request. An organisation without a rate is always admitted.
    pub fn admit(&mut self, now: Uptime, id: &str) -> QuotaDecision {
        let Some(account) = self.accounts.get(id) else {
            return QuotaDecision::Admitted;
        };
        let demand = account.demand(now) + 1.0 / DEMAND.as_secs_f64();
        // With the newest demand of its own only, all parts would grow at once in a step of demand.
        let known = account.reported * GROWTH;
        let own = demand.min(known.max(UNREPORTED));
        let part = self.part(now, id, account.rate.per_second, own);
        let Some(account) = self.accounts.get_mut(id) else {
            return QuotaDecision::Admitted;
        };
        account.demand = demand;
        account.asked = now;
        let refill = account.rate.per_second * part;
        let spare = used_slack(account.rate.per_second) * self.slack / self.servers;
        let burst = (account.rate.burst * part).max(1.0) + spare;
        let earned = now.saturating_sub(account.at).as_secs_f64() * refill;
        account.tokens = (account.tokens + earned).min(burst);
        account.at = now;
        if account.tokens + account.reserve >= 1.0 {
            account.spend();
            return QuotaDecision::Admitted;
        }
        let wait = (1.0 - account.tokens) / refill.max(0.1);
        QuotaDecision::Refused(Duration::from_secs_f64(wait.min(30.0)))
    }

    /// Charges a repeat of a request, which runs once more and is not refused.
    pub fn charge(&mut self, id: &str) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.tokens -= 1.0;
        }
    }

    /// Gives back the token of a request that was not run.
    pub fn refund(&mut self, id: &str) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.tokens += 1.0;
        }
    }

    /// Demands of this VM to report: organisations with a demand that counts. Parts follow these from
    /// now on.
    pub fn demand_report(&mut self, now: Uptime) -> Vec<(u32, f64)> {
        let mut demands = Vec::new();
        for (id, account) in &mut self.accounts {
            let demand = account.demand(now);
            let counts = demand >= REPORTED * account.rate.per_second;
            account.reported = if counts { demand } else { 0.0 };
            if counts {
                demands.push((short_hash(id), demand));
            }
        }
        demands
    }

    /// Demands near a rate that have changed since they were reported, to be reported at once.
    pub fn demand_changes(&mut self, now: Uptime) -> Vec<(u32, f64)> {
        let mut demands = Vec::new();
        for (id, account) in &mut self.accounts {
            let demand = account.demand(now);
            let change = (demand - account.reported).abs();
            if demand >= PRESSING * account.rate.per_second && change >= CHANGED * demand {
                account.reported = demand;
                demands.push((short_hash(id), demand));
            }
        }
        demands
    }

    /// Takes all demands of another VM.
    pub fn record_report(
        &mut self,
        now: Uptime,
        vm: u64,
        demands: impl Iterator<Item = (u32, f64)>,
    ) {
        self.reports.retain(|_, (at, _)| now.saturating_sub(*at) < REPORT_AGE);
        self.reports.insert(vm, (now, demands.collect()));
    }

    /// Takes demands of another VM that have changed.
    pub fn merge_changes(
        &mut self,
        now: Uptime,
        vm: u64,
        demands: impl Iterator<Item = (u32, f64)>,
    ) {
        let (at, known) = self.reports.entry(vm).or_default();
        *at = now;
        known.extend(demands);
    }
}
