use kernel::BackendSpec;
use kernel::prelude::*;

/// State that a balancer keeps for a backend server.
pub(crate) struct TrackedBackend {
    /// Specification; the last known one if the backend server was removed from the configuration.
    pub spec: BackendSpec,
    /// False once the backend server was removed from the configuration. It is kept until its slots
    /// are free.
    pub configured: bool,
    /// Number of slots in use.
    pub slots_used: u32,
    /// Value of the balancer's pick count when this backend server was last picked.
    pub last_pick: u64,
    /// Time of the last pick.
    pub last_used: Option<Uptime>,
    /// Time of the last trial.
    pub last_trial: Option<Uptime>,
    /// True from the start of a trial until any slot of this backend server is released.
    pub in_trial: bool,
}

impl TrackedBackend {
    /// Creates the state of a backend server with no slots in use.
    pub fn new(spec: BackendSpec) -> Self {
        TrackedBackend {
            spec,
            configured: true,
            slots_used: 0,
            last_pick: 0,
            last_used: None,
            last_trial: None,
            in_trial: false,
        }
    }

    /// Returns the maximum number of slots in use with this health status.
    pub fn limit(&self, health: HealthStatus) -> u32 {
        let slots = self.spec.limits.slots;
        match health {
            HealthStatus::Healthy | HealthStatus::Suspect => slots,
            // At least one slot, so that a backend server with few slots gets requests at all.
            HealthStatus::Ramping(fraction) => {
                ((f64::from(slots) * fraction) as u32).clamp(1, slots)
            }
            HealthStatus::HalfOpen => 1,
            HealthStatus::Unreachable | HealthStatus::Ejected | HealthStatus::Draining => 0,
        }
    }

    /// Returns the load after one more request, in thousandths of the limit, or `None` if no slot
    /// is free.
    pub fn load_after_pick(&self, health: HealthStatus) -> Option<u32> {
        let limit = self.limit(health);
        (self.slots_used < limit).then(|| (self.slots_used + 1) * 1000 / limit)
    }
}
