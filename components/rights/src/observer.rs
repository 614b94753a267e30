use std::collections::HashMap;
use std::time::Duration;

use kernel::{Incarnation, RowVersion, Uptime};

/// Fraction of the lease that is waited in addition to it, since clocks may drift apart by that
/// much.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.01;

/// Detects expired sessions of other incarnations from the versions of their rows and this VM's
/// clock.
#[derive(Clone, Debug, Default)]
pub struct SessionObserver {
    sessions: HashMap<Incarnation, (RowVersion, Uptime)>,
}

impl SessionObserver {
    /// Records the version of a session row, 0 if there is none.
    ///
    /// `now` must be taken after the row was read, since the row may have been written right before
    /// the read.
    pub fn observe(&mut self, now: Uptime, holder: Incarnation, version: RowVersion) {
        let seen = self.sessions.entry(holder).or_insert((version, now));
        if seen.0 != version {
            *seen = (version, now);
        }
    }

    /// Version of a session row that has not changed for a whole lease and the margin for clock
    /// drift.
    ///
    /// A write that relies on it must check that the row still has this version.
    pub fn expired_version(
        &self,
        now: Uptime,
        holder: Incarnation,
        lease: Duration,
    ) -> Option<RowVersion> {
        let (version, since) = self.sessions.get(&holder)?;
        (now >= *since + lease.mul_f64(1.0 + MAX_CLOCK_DRIFT_RATIO)).then_some(*version)
    }

    /// Drops a holder that was removed from a row.
    pub fn forget(&mut self, holder: Incarnation) {
        self.sessions.remove(&holder);
    }
}
