use std::collections::HashMap;
use std::time::Duration;

use kernel::{
    Admission, Incarnation, Limiter, LimiterAction, LimiterMessage, LimiterPlugin, OrganisationId,
    Rate, Uptime, VmContext,
};

inventory::submit! {
    LimiterPlugin { name: "naive", build: |context| Box::new(NaiveLimiter::new(context)) }
}

/// Token bucket of one organisation on this VM.
#[derive(Clone, Copy, Debug)]
struct LocalBucket {
    rate: Rate,
    level: f64,
    updated: Uptime,
}

/// Baseline limiter: divides every rate by the number of VMs, each of which has its own bucket.
///
/// A bucket has a capacity of at least one token, so the fleet exceeds bursts smaller than the
/// number of VMs.
#[derive(Clone, Debug)]
pub struct NaiveLimiter {
    vms: usize,
    buckets: HashMap<OrganisationId, LocalBucket>,
}

impl NaiveLimiter {
    /// Creates a limiter without organisations.
    pub fn new(context: &VmContext) -> Self {
        NaiveLimiter { vms: context.vms.max(1), buckets: HashMap::new() }
    }
}

impl Limiter for NaiveLimiter {
    fn set_rate(&mut self, now: Uptime, organisation: &str, rate: Option<Rate>) {
        let Some(rate) = rate else {
            self.buckets.remove(organisation);
            return;
        };
        let level = (rate.burst / self.vms as f64).max(1.0);
        let new_bucket = LocalBucket { rate, level, updated: now };
        self.buckets.entry(organisation.into()).or_insert(new_bucket).rate = rate;
    }

    fn set_vms(&mut self, _now: Uptime, vms: &[Incarnation]) {
        self.vms = vms.len().max(1);
    }

    fn set_units(&mut self, _: Uptime, _: &str, _: u32, _: u32, _: Uptime, _: bool) {}

    fn admit(&mut self, now: Uptime, organisation: &str) -> Admission {
        let vms = self.vms as f64;
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Admission::Refused(Duration::from_secs(1));
        };
        let refill = bucket.rate.per_second / vms;
        let elapsed = now.saturating_sub(bucket.updated).as_secs_f64();
        let capacity = (bucket.rate.burst / vms).max(1.0);
        bucket.level = (bucket.level + elapsed * refill).min(capacity);
        bucket.updated = bucket.updated.max(now);
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return Admission::Admitted;
        }
        let wait = (1.0 - bucket.level) / refill;
        Admission::Refused(Duration::try_from_secs_f64(wait).unwrap_or(Duration::from_secs(60)))
    }

    fn receive(&mut self, _: Uptime, _: Incarnation, _: LimiterMessage) {}

    fn poll(&mut self, _: Uptime) -> Vec<LimiterAction> {
        Vec::new()
    }
}
