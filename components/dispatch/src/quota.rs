use std::collections::HashMap;
use std::time::Duration;

use kernel::{OrganisationId, Rate, Uptime};

use crate::{SpendingRight, short_hash};

/// Time constant with which the demand estimate decays.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1500);
/// Age after which the demand that another VM reported is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(3500);
/// Fraction of its equal share of a burst that a process starts with: it does not know what other
/// VMs have just spent, but has admitted nothing itself while it started.
const START_BURST_FRACTION: f64 = 0.6;
/// Fraction of a burst that a VM keeps, besides one request, when it takes over from a VM that may
/// have spent the burst.
const KEPT_BURST_FRACTION: f64 = 0.04;
/// Lower bound of the requests of one organisation that a process can admit at its start: a small
/// organisation's share of a burst is less than one request, and its callers return all at once.
const MIN_START_REQUESTS: f64 = 2.5;
/// Fraction of its share of the slack that a process may add to reach `MIN_START_REQUESTS`.
const START_SLACK_FRACTION: f64 = 0.35;
/// Lower bound of the slack fraction: the fraction of the slack that the VMs use to refuse nothing
/// within a rate while their shares follow the demand. The rest covers steps of demand and VMs that
/// start, stop or take over.
const MIN_SLACK_FRACTION: f64 = 0.2;
/// Upper bound of the slack fraction.
const MAX_SLACK_FRACTION: f64 = 0.45;
/// Slack fraction of a rate near 0, before the bounds are applied. It falls with the rate, since a
/// step of demand needs slack in proportion to the rate.
const ZERO_RATE_SLACK_FRACTION: f64 = 0.55;
/// Rate at which the slack fraction reaches 0, before the bounds are applied.
const ZERO_SLACK_RATE_PER_S: f64 = 33.0;
/// Demand, as a fraction of the rate, that is added to the demand of each VM: while no VM has any,
/// each would otherwise own the entire burst.
const PRIOR_DEMAND_FRACTION: f64 = 0.1;
/// Relative change from which a demand near its rate is reported again.
const MIN_CHANGE_FRACTION: f64 = 0.1;
/// Upper bound of the own demand that counts in a share, as a multiple of the demand that was last
/// reported to the other VMs.
const MAX_DEMAND_GROWTH: f64 = 1.25;
/// Own demand that counts in a share although it was not reported to the other VMs: about one
/// request within `DEMAND_TIME_CONSTANT`, which an organisation with few requests needs.
const UNREPORTED_DEMAND_PER_S: f64 = 0.6;
/// Fraction of its rate from which an organisation's demand is reported at all.
const MIN_REPORTED_FRACTION: f64 = 0.03;
/// Fraction of its rate from which changes of an organisation's demand are reported at once.
const URGENT_FRACTION: f64 = 0.22;

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request is within the rate.
    Admitted,
    /// The request is above the rate; the next token is expected after this time.
    Refused(Duration),
}

/// Token bucket of one organisation on this VM, with its demand.
#[derive(Clone, Debug)]
struct Account {
    rate: Rate,
    tokens: f64,
    /// Requests out of the slack that the process may admit once after its start. Not negative.
    reserve: f64,
    refilled_at: Uptime,
    /// Estimated requests per second at `requested_at`, whether admitted or not.
    demand: f64,
    /// Demand that was last reported to the other VMs, and when; 0 if it was too small to report.
    reported: f64,
    reported_at: Uptime,
    /// Upper bound of the reported demand that all other VMs know of. At most `reported`.
    confirmed: f64,
    requested_at: Uptime,
}

impl Account {
    fn new(now: Uptime, rate: Rate, tokens: f64, reserve: f64) -> Self {
        Account {
            rate,
            tokens,
            reserve,
            refilled_at: now,
            demand: 0.0,
            reported: 0.0,
            reported_at: now,
            confirmed: 0.0,
            requested_at: now,
        }
    }

    /// Spends one request: tokens first, and the reserve for what they lack.
    fn spend(&mut self) {
        let lack = (1.0 - self.tokens.max(0.0)).clamp(0.0, self.reserve);
        self.reserve -= lack;
        self.tokens -= 1.0 - lack;
    }

    /// Records a report to the other VMs. What it lowers counts at once.
    fn report(&mut self, now: Uptime, demand: f64) {
        self.reported = demand;
        self.reported_at = now;
        self.confirmed = self.confirmed.min(demand);
    }

    /// Counts the last report as known to the other VMs if all were heard after it was sent.
    fn confirm(&mut self, heard_since: Uptime) {
        if heard_since > self.reported_at {
            self.confirmed = self.reported;
        }
    }

    /// Demand now: the estimate, decayed since the last request.
    fn demand(&self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.requested_at).as_secs_f64();
        self.demand * (-age / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Slack fraction of an organisation with this rate per second.
fn slack_fraction(rate: f64) -> f64 {
    (ZERO_RATE_SLACK_FRACTION * (1.0 - rate / ZERO_SLACK_RATE_PER_S))
        .clamp(MIN_SLACK_FRACTION, MAX_SLACK_FRACTION)
}

/// Admits requests within the rates of organisations. The VMs report their demand to each other,
/// and each owns the share of a rate that its demand has in the demand of all VMs.
///
/// Handles an organisation that sends many times its expected rate, through a few VMs or all: the
/// shares follow the demand within a second, and their sum is the rate.
#[derive(Debug)]
pub struct Quota {
    accounts: HashMap<OrganisationId, Account>,
    /// Time of the last report and demand by organisation hash, for each other VM.
    reports: HashMap<u64, (Uptime, HashMap<u32, f64>)>,
    /// Time of the last report of a leader, for each other failure domain by its hash.
    domains: HashMap<u32, Uptime>,
    /// Number of VMs that normally serve callers at once.
    serving_vms: f64,
    /// Requests per window that all VMs together may admit beyond a rate and burst.
    slack: f64,
    configured: bool,
    /// What this VM may spend of its failure domain's shares while it leads. The sum over the VMs of
    /// a failure domain is at most 1, whoever can hear whom, except for the time that a cut takes to
    /// be noticed.
    right: SpendingRight,
}

impl Default for Quota {
    fn default() -> Self {
        Quota {
            accounts: HashMap::new(),
            reports: HashMap::new(),
            domains: HashMap::new(),
            serving_vms: 0.0,
            slack: 0.0,
            configured: false,
            right: SpendingRight { fraction: 1.0, in_touch: true },
        }
    }
}

impl Quota {
    /// Sets what this VM may spend of its failure domain's shares from now on.
    pub fn set_right(&mut self, right: SpendingRight) {
        self.right = right;
    }

    /// Begins to spend: the VM has become leader, and nothing has accrued to it before. `forfeits` is
    /// whether it takes over from a VM that may have spent the burst and may be serving still; it
    /// gives up most of what it has saved then.
    pub fn begin_spending(&mut self, now: Uptime, forfeits: bool) {
        for account in self.accounts.values_mut() {
            account.refilled_at = now;
            let kept = if forfeits {
                1.0 + KEPT_BURST_FRACTION * account.rate.burst
            } else {
                START_BURST_FRACTION * account.rate.burst / self.serving_vms
            };
            account.tokens = account.tokens.min(kept);
        }
    }

    /// Whether an organisation has a rate.
    pub fn is_limited(&self, id: &str) -> bool {
        self.accounts.contains_key(id)
    }

    /// Sets the rates, the number of VMs that normally serve callers at once, and how many requests
    /// they may admit together beyond a rate and burst.
    pub fn configure<'a>(
        &mut self,
        now: Uptime,
        rates: impl Iterator<Item = (&'a OrganisationId, Option<Rate>)>,
        serving_vms: usize,
        slack: f64,
    ) {
        self.serving_vms = serving_vms.max(1) as f64;
        self.slack = slack;
        // A process that has just started does not know what other VMs have spent.
        let first = !std::mem::replace(&mut self.configured, true);
        let mut accounts = HashMap::new();
        for (id, rate) in rates {
            let Some(rate) = rate else { continue };
            let account = match self.accounts.remove(id) {
                Some(old) => Account { tokens: old.tokens.min(rate.burst), rate, ..old },
                None if first => {
                    let tokens = START_BURST_FRACTION * rate.burst / self.serving_vms;
                    let max_reserve = START_SLACK_FRACTION * slack / self.serving_vms;
                    Account::new(
                        now,
                        rate,
                        tokens,
                        (MIN_START_REQUESTS - tokens).clamp(0.0, max_reserve),
                    )
                }
                None => Account::new(now, rate, rate.burst / self.serving_vms, 0.0),
            };
            accounts.insert(id.clone(), account);
        }
        self.accounts = accounts;
    }

    /// Share of an organisation's rate that this VM may use now. In [0, 1].
    fn share(&self, now: Uptime, id: &str, rate: f64, own: f64) -> f64 {
        let hash = short_hash(id);
        let fresh = |at: &Uptime| now.saturating_sub(*at) < MAX_REPORT_AGE;
        let recent = self.reports.values().filter(|(at, _)| fresh(at));
        let others: f64 =
            recent.map(|(_, demands)| demands.get(&hash).copied().unwrap_or(0.0)).sum();
        let reporting = self.domains.values().filter(|at| fresh(at)).count() as f64;
        // Failure domains whose leader has not reported keep an equal share.
        let silent_share = (self.serving_vms - 1.0 - reporting).max(0.0) / self.serving_vms;
        let prior = PRIOR_DEMAND_FRACTION * rate / (reporting + 1.0);
        let by_demand = (own + prior) / (own + others + prior * (reporting + 1.0));
        let share = by_demand * (1.0 - silent_share);
        // The others may not have this VM's reports and keep their own shares.
        if self.right.in_touch { share } else { share.min(1.0 / self.serving_vms) }
    }

    /// Time since which every leader that has reported lately has reported again. What was reported
    /// to them before that time has reached them, unless messages pass one way only.
    fn heard_all_since(&self, now: Uptime) -> Uptime {
        let recent = self.domains.values().copied();
        recent.filter(|at| now.saturating_sub(*at) < MAX_REPORT_AGE).min().unwrap_or(now)
    }

    /// Decides whether to admit one request. An organisation without a rate is always admitted.
    pub fn admit(&mut self, now: Uptime, id: &str) -> QuotaDecision {
        let heard_since = self.heard_all_since(now);
        let Some(account) = self.accounts.get_mut(id) else {
            return QuotaDecision::Admitted;
        };
        account.confirm(heard_since);
        let account = &*account;
        let demand = account.demand(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        // Each VM knows its own demand before that of the others. If it counted in full at once,
        // all shares would grow together in a step of demand.
        let counted =
            |known: f64| demand.min((known * MAX_DEMAND_GROWTH).max(UNREPORTED_DEMAND_PER_S));
        let (confirmed, reported) = (counted(account.confirmed), counted(account.reported));
        let rate = account.rate.per_second;
        // Reports that may not have reached the others give at most an equal share.
        let share = self
            .share(now, id, rate, reported)
            .min(1.0 / self.serving_vms)
            .max(self.share(now, id, rate, confirmed));
        let Some(account) = self.accounts.get_mut(id) else {
            return QuotaDecision::Admitted;
        };
        account.demand = demand;
        account.requested_at = now;
        let share = share * self.right.fraction;
        let refill = account.rate.per_second * share;
        let own_slack = self.right.fraction * slack_fraction(account.rate.per_second) * self.slack
            / self.serving_vms;
        let burst = (account.rate.burst * share).max(1.0) + own_slack;
        let earned = now.saturating_sub(account.refilled_at).as_secs_f64() * refill;
        account.tokens = (account.tokens + earned).min(burst);
        account.refilled_at = now;
        if account.tokens + account.reserve >= 1.0 {
            account.spend();
            return QuotaDecision::Admitted;
        }
        let wait = (1.0 - account.tokens) / refill.max(0.1);
        QuotaDecision::Refused(Duration::from_secs_f64(wait.min(30.0)))
    }

    /// Charges retries, which run on a backend server as well but are never refused, or returns the
    /// tokens of requests that were not run if the number is negative.
    pub fn charge(&mut self, id: &str, requests: i32) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.tokens -= f64::from(requests);
        }
    }

    /// Demands of this VM for a complete report, as pairs of organisation hash and requests per
    /// second. Leaves out demands that are too small. The report bounds the own demand that counts
    /// in later shares.
    pub fn demand_report(&mut self, now: Uptime) -> Vec<(u32, f64)> {
        let mut demands = Vec::new();
        let heard_since = self.heard_all_since(now);
        for (id, account) in &mut self.accounts {
            let demand = account.demand(now);
            let is_reported = demand >= MIN_REPORTED_FRACTION * account.rate.per_second;
            account.confirm(heard_since);
            account.report(now, if is_reported { demand } else { 0.0 });
            if is_reported {
                demands.push((short_hash(id), demand));
            }
        }
        demands
    }

    /// Demands near their rate that have changed since the last report, to be reported at once.
    pub fn demand_changes(&mut self, now: Uptime) -> Vec<(u32, f64)> {
        let mut demands = Vec::new();
        let heard_since = self.heard_all_since(now);
        for (id, account) in &mut self.accounts {
            account.confirm(heard_since);
            let demand = account.demand(now);
            let change = (demand - account.reported).abs();
            if demand >= URGENT_FRACTION * account.rate.per_second
                && change >= MIN_CHANGE_FRACTION * demand
            {
                account.report(now, demand);
                demands.push((short_hash(id), demand));
            }
        }
        demands
    }

    /// Replaces the demands of another VM by its complete report. `domain` is the failure domain
    /// of a leader of another one, and `None` for any other VM.
    pub fn record_report(
        &mut self,
        now: Uptime,
        vm: u64,
        domain: Option<&str>,
        demands: impl Iterator<Item = (u32, f64)>,
    ) {
        self.reports.retain(|_, (at, _)| now.saturating_sub(*at) < MAX_REPORT_AGE);
        self.reports.insert(vm, (now, demands.collect()));
        if let Some(domain) = domain {
            self.domains.insert(short_hash(domain), now);
        }
    }

    /// Merges changed demands of another VM into its last report.
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
