use std::collections::HashMap;
use std::time::Duration;

use kernel::{Incarnation, RowVersion, Uptime};

/// Part of the lease that is waited on top of it: clocks may drift apart by this much.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.01;

/// Watches the sessions of other incarnations by the versions of their rows and the own clock.
#[derive(Clone, Debug, Default)]
pub struct SessionObserver {
    sessions: HashMap<Incarnation, (RowVersion, Uptime)>,
}

impl SessionObserver {
    /// Notes the version of a session row, 0 if there is none.
    ///
    /// `now` is a moment after the row was read, since the write may be as young as the read.
    pub fn observe(&mut self, now: Uptime, holder: Incarnation, version: RowVersion) {
        let seen = self.sessions.entry(holder).or_insert((version, now));
        if seen.0 != version {
            *seen = (version, now);
        }
    }

    /// Version of a session row that has stayed the same for a whole lease and the margin.
    ///
    /// A write that relies on it has to check that the row still has this version.
    pub fn expired_version(
        &self,
        now: Uptime,
        holder: Incarnation,
        lease: Duration,
    ) -> Option<RowVersion> {
        let (version, since) = self.sessions.get(&holder)?;
        (now >= *since + lease.mul_f64(1.0 + MAX_CLOCK_DRIFT_RATIO)).then_some(*version)
    }

    /// Forgets a holder that no row names any more.
    pub fn forget(&mut self, holder: Incarnation) {
        self.sessions.remove(&holder);
    }
}
