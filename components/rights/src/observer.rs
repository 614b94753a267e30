use std::collections::HashMap;
use std::time::Duration;

use kernel::{Incarnation, RowVersion, Uptime};

/// Part of the lease that is waited on top of it: clocks may drift apart by this much.
const DRIFT: f64 = 0.01;

/// Watches the sessions of other incarnations by the versions of their rows and the own clock.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    seen: HashMap<Incarnation, (RowVersion, Uptime)>,
}

impl Observer {
    /// Notes the version of a session row, 0 if there is none.
    ///
    /// `now` is a moment after the row was read, since the write may be as young as the read.
    pub fn note(&mut self, now: Uptime, holder: Incarnation, version: RowVersion) {
        let seen = self.seen.entry(holder).or_insert((version, now));
        if seen.0 != version {
            *seen = (version, now);
        }
    }

    /// Version of a session row that has stayed the same for a whole lease and the margin.
    ///
    /// A write that relies on it has to check that the row still has this version.
    pub fn ended(&self, now: Uptime, holder: Incarnation, lease: Duration) -> Option<RowVersion> {
        let (version, since) = self.seen.get(&holder)?;
        (now >= *since + lease.mul_f64(1.0 + DRIFT)).then_some(*version)
    }

    /// Forgets a holder that no row names any more.
    pub fn forget(&mut self, holder: Incarnation) {
        self.seen.remove(&holder);
    }
}
