use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use kernel::{
    Admission, GrantId, Incarnation, Limiter, LimiterAction, LimiterMessage, LimiterPlugin,
    OrganisationId, Rate, Uptime, VmContext,
};

use crate::organisation::OrganisationLimiter;

inventory::submit! {
    LimiterPlugin { name: "shares", build: |context| Box::new(SharesLimiter::new(context)) }
}

/// Minimum interval between polls of all organisations that are due. Polls between them cover only
/// organisations with events.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Rate of an organisation that was removed while this VM still holds units of it.
const ZERO_RATE: Rate = Rate { per_second: 0.0, burst: 0.0 };

/// Divides every rate among the VMs that hold its units; the holders grant tokens to the other VMs.
pub struct SharesLimiter {
    this_vm: Incarnation,
    vms: Vec<Incarnation>,
    rates: HashMap<OrganisationId, Rate>,
    /// Limiters of the organisations with requests, units or grants on this VM. Ordered, so that
    /// the same events lead to the same actions.
    limiters: BTreeMap<OrganisationId, OrganisationLimiter>,
    changed: HashSet<OrganisationId>,
    last_poll: Uptime,
    last_grant: GrantId,
    actions: Vec<LimiterAction>,
}

impl SharesLimiter {
    /// Creates a limiter without organisations that knows no other VM.
    pub fn new(context: &VmContext) -> Self {
        SharesLimiter {
            this_vm: context.incarnation,
            vms: vec![context.incarnation],
            rates: HashMap::new(),
            limiters: BTreeMap::new(),
            changed: HashSet::new(),
            last_poll: Uptime::ZERO,
            last_grant: 0,
            actions: Vec::new(),
        }
    }

    fn limiter(&mut self, now: Uptime, organisation: &str) -> &mut OrganisationLimiter {
        if !self.changed.contains(organisation) {
            self.changed.insert(organisation.into());
        }
        let rate = self.rates.get(organisation).copied().unwrap_or(ZERO_RATE);
        self.limiters.entry(organisation.into()).or_insert_with(|| {
            OrganisationLimiter::new(now, self.this_vm, organisation, rate, &self.vms)
        })
    }
}

impl Limiter for SharesLimiter {
    fn set_rate(&mut self, now: Uptime, organisation: &str, rate: Option<Rate>) {
        match rate {
            Some(rate) => drop(self.rates.insert(organisation.into(), rate)),
            None => drop(self.rates.remove(organisation)),
        }
        if let Some(limiter) = self.limiters.get_mut(organisation) {
            limiter.set_rate(now, rate.unwrap_or(ZERO_RATE), &self.vms);
        }
    }

    fn set_vms(&mut self, _now: Uptime, vms: &[Incarnation]) {
        if self.vms == vms {
            return;
        }
        self.vms = vms.to_vec();
        for limiter in self.limiters.values_mut() {
            limiter.set_vms(vms);
        }
    }

    fn set_units(
        &mut self,
        now: Uptime,
        organisation: &str,
        units: u32,
        total: u32,
        expires_at: Uptime,
        first_use: bool,
    ) {
        self.limiter(now, organisation).set_units(now, units, total, expires_at, first_use);
    }

    fn admit(&mut self, now: Uptime, organisation: &str) -> Admission {
        if !self.rates.contains_key(organisation) {
            return Admission::Refused(Duration::from_secs(1));
        }
        self.limiter(now, organisation).admit(now)
    }

    fn receive(&mut self, now: Uptime, from: Incarnation, message: LimiterMessage) {
        let organisation = match &message {
            LimiterMessage::Ask { organisation, .. } => organisation.clone(),
            LimiterMessage::Grant { organisation, .. } => organisation.clone(),
        };
        if !self.rates.contains_key(&organisation) && !self.limiters.contains_key(&organisation) {
            return;
        }
        let reply = self.limiter(now, &organisation).receive(now, from, message);
        self.actions.extend(reply);
    }

    fn poll(&mut self, now: Uptime) -> Vec<LimiterAction> {
        let mut actions = std::mem::take(&mut self.actions);
        if now >= self.last_poll + POLL_INTERVAL {
            self.last_poll = now;
            self.limiters.retain(|organisation, limiter| {
                if limiter.is_due(now) || self.changed.contains(organisation) {
                    limiter.poll(now, &mut self.last_grant, &mut actions);
                }
                !limiter.is_idle(now)
            });
            self.changed.clear();
            return actions;
        }
        let mut changed: Vec<OrganisationId> = self.changed.drain().collect();
        changed.sort_unstable();
        for organisation in changed {
            if let Some(limiter) = self.limiters.get_mut(&organisation) {
                limiter.poll(now, &mut self.last_grant, &mut actions);
            }
        }
        actions
    }
}
