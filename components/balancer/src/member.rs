use kernel::BackendSpec;
use kernel::prelude::*;

/// A backend server as the balancer counts it.
pub(crate) struct Member {
    /// Its description; the last one known if it has left the configuration.
    pub spec: BackendSpec,
    /// False once it has left the configuration; it is kept until its slots are free.
    pub present: bool,
    /// Slots in use.
    pub used: u32,
    /// Number of the pick that chose it last.
    pub last_pick: u64,
    /// When that was.
    pub last_work: Option<Uptime>,
    /// When it last got a trial.
    pub last_trial: Option<Uptime>,
    /// True from a trial until any slot of it is freed.
    pub in_trial: bool,
}

impl Member {
    /// A backend server without work.
    pub fn new(spec: BackendSpec) -> Self {
        Member {
            spec,
            present: true,
            used: 0,
            last_pick: 0,
            last_work: None,
            last_trial: None,
            in_trial: false,
        }
    }

    /// Slots that may be in use at once with this standing.
    pub fn limit(&self, standing: HealthStatus) -> u32 {
        let slots = self.spec.limits.slots;
        match standing {
            HealthStatus::Healthy | HealthStatus::Suspect => slots,
            // One slot at least, or a ramping backend server with few slots would never start.
            HealthStatus::Ramping(part) => ((f64::from(slots) * part) as u32).clamp(1, slots),
            HealthStatus::HalfOpen => 1,
            HealthStatus::Unreachable | HealthStatus::Ejected | HealthStatus::Draining => 0,
        }
    }

    /// Load after one more request, in thousandths of the limit; none if no slot is free.
    pub fn next_load(&self, standing: HealthStatus) -> Option<u32> {
        let limit = self.limit(standing);
        (self.used < limit).then(|| (self.used + 1) * 1000 / limit)
    }
}
