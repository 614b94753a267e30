use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use kernel::{
    Admission, GrantId, Incarnation, Limiter, LimiterAction, LimiterMessage, LimiterPlugin,
    OrganisationId, Rate, Uptime, VmContext,
};

use crate::account::Account;

inventory::submit! {
    LimiterPlugin { name: "shares", build: |context| Box::new(Shares::new(context)) }
}

/// The accounts that are due are visited this often; between, those that something happened to.
const VISIT_EVERY: Duration = Duration::from_millis(15);

/// Rate of an organisation that was removed while this VM still holds units of it.
const NOTHING: Rate = Rate { per_second: 0.0, burst: 0.0 };

/// Shares every rate out over the VMs that hold its units, and grants tokens to the others.
pub struct Shares {
    me: Incarnation,
    vms: Vec<Incarnation>,
    rates: HashMap<OrganisationId, Rate>,
    /// Organisations with requests, units or grants on this VM. Ordered, so that the same events
    /// lead to the same actions.
    accounts: BTreeMap<OrganisationId, Account>,
    touched: HashSet<OrganisationId>,
    visited: Uptime,
    next: GrantId,
    actions: Vec<LimiterAction>,
}

impl Shares {
    /// A limiter without organisations that knows no other VM.
    pub fn new(context: &VmContext) -> Self {
        Shares {
            me: context.incarnation,
            vms: vec![context.incarnation],
            rates: HashMap::new(),
            accounts: BTreeMap::new(),
            touched: HashSet::new(),
            visited: Uptime::ZERO,
            next: 0,
            actions: Vec::new(),
        }
    }

    fn account(&mut self, now: Uptime, organisation: &str) -> &mut Account {
        if !self.touched.contains(organisation) {
            self.touched.insert(organisation.into());
        }
        let rate = self.rates.get(organisation).copied().unwrap_or(NOTHING);
        self.accounts
            .entry(organisation.into())
            .or_insert_with(|| Account::new(now, self.me, organisation, rate, &self.vms))
    }
}

impl Limiter for Shares {
    fn set_rate(&mut self, now: Uptime, organisation: &str, rate: Option<Rate>) {
        match rate {
            Some(rate) => drop(self.rates.insert(organisation.into(), rate)),
            None => drop(self.rates.remove(organisation)),
        }
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.set_rate(now, rate.unwrap_or(NOTHING), &self.vms);
        }
    }

    fn set_vms(&mut self, _now: Uptime, vms: &[Incarnation]) {
        if self.vms == vms {
            return;
        }
        self.vms = vms.to_vec();
        for account in self.accounts.values_mut() {
            account.set_vms(vms);
        }
    }

    fn set_units(
        &mut self,
        now: Uptime,
        organisation: &str,
        units: u32,
        total: u32,
        until: Uptime,
        fresh: bool,
    ) {
        self.account(now, organisation).set_units(now, units, total, until, fresh);
    }

    fn admit(&mut self, now: Uptime, organisation: &str) -> Admission {
        if !self.rates.contains_key(organisation) {
            return Admission::Refused(Duration::from_secs(1));
        }
        self.account(now, organisation).admit(now)
    }

    fn receive(&mut self, now: Uptime, from: Incarnation, message: LimiterMessage) {
        let organisation = match &message {
            LimiterMessage::Ask { organisation, .. } => organisation.clone(),
            LimiterMessage::Grant { organisation, .. } => organisation.clone(),
        };
        if !self.rates.contains_key(&organisation) && !self.accounts.contains_key(&organisation) {
            return;
        }
        let answer = self.account(now, &organisation).receive(now, from, message);
        self.actions.extend(answer);
    }

    fn poll(&mut self, now: Uptime) -> Vec<LimiterAction> {
        let mut actions = std::mem::take(&mut self.actions);
        if now >= self.visited + VISIT_EVERY {
            self.visited = now;
            self.accounts.retain(|organisation, account| {
                if account.is_due(now) || self.touched.contains(organisation) {
                    account.poll(now, &mut self.next, &mut actions);
                }
                !account.is_idle(now)
            });
            self.touched.clear();
            return actions;
        }
        let mut touched: Vec<OrganisationId> = self.touched.drain().collect();
        touched.sort_unstable();
        for organisation in touched {
            if let Some(account) = self.accounts.get_mut(&organisation) {
                account.poll(now, &mut self.next, &mut actions);
            }
        }
        actions
    }
}
