use std::collections::HashMap;
use std::time::Duration;

use kernel::{
    Admission, Incarnation, Limiter, LimiterAction, LimiterMessage, LimiterPlugin, OrganisationId,
    Rate, Uptime, VmContext,
};

inventory::submit! {
    LimiterPlugin { name: "naive", build: |context| Box::new(Naive::new(context)) }
}

/// Tokens of one organisation on this VM.
#[derive(Clone, Copy, Debug)]
struct Local {
    rate: Rate,
    level: f64,
    at: Uptime,
}

/// Divides every rate by the number of VMs, each of which has its own bucket.
///
/// A bucket takes at least one token, so the fleet exceeds bursts smaller than the number of VMs.
#[derive(Clone, Debug)]
pub struct Naive {
    vms: usize,
    locals: HashMap<OrganisationId, Local>,
}

impl Naive {
    /// A limiter without organisations.
    pub fn new(context: &VmContext) -> Self {
        Naive { vms: context.vms.max(1), locals: HashMap::new() }
    }
}

impl Limiter for Naive {
    fn set_rate(&mut self, now: Uptime, organisation: &str, rate: Option<Rate>) {
        let Some(rate) = rate else {
            self.locals.remove(organisation);
            return;
        };
        let level = (rate.burst / self.vms as f64).max(1.0);
        let fresh = Local { rate, level, at: now };
        self.locals.entry(organisation.into()).or_insert(fresh).rate = rate;
    }

    fn set_vms(&mut self, _now: Uptime, vms: &[Incarnation]) {
        self.vms = vms.len().max(1);
    }

    fn set_units(&mut self, _: Uptime, _: &str, _: u32, _: u32, _: Uptime, _: bool) {}

    fn admit(&mut self, now: Uptime, organisation: &str) -> Admission {
        let vms = self.vms as f64;
        let Some(local) = self.locals.get_mut(organisation) else {
            return Admission::Refused(Duration::from_secs(1));
        };
        let refill = local.rate.per_second / vms;
        let elapsed = now.saturating_sub(local.at).as_secs_f64();
        let cap = (local.rate.burst / vms).max(1.0);
        local.level = (local.level + elapsed * refill).min(cap);
        local.at = local.at.max(now);
        if local.level >= 1.0 {
            local.level -= 1.0;
            return Admission::Admitted;
        }
        let wait = (1.0 - local.level) / refill;
        Admission::Refused(Duration::try_from_secs_f64(wait).unwrap_or(Duration::from_secs(60)))
    }

    fn receive(&mut self, _: Uptime, _: Incarnation, _: LimiterMessage) {}

    fn poll(&mut self, _: Uptime) -> Vec<LimiterAction> {
        Vec::new()
    }
}
