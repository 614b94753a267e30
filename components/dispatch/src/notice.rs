use std::collections::HashMap;
use std::time::Duration;

use kernel::Uptime;

use crate::{BackendEntry, short_hash};

/// Time for which the notice of a backend server that is not listed is kept. A list that still has
/// it can arrive late from a VM that was cut off, paused or partitioned.
const UNLISTED_RETENTION: Duration = Duration::from_secs(900);
/// Upper bound of the pause that a backend server can ask for.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// One start of a backend server: the short hash of its id, and its start time in Unix
/// milliseconds. A restart under the same id is another server.
pub type StartKey = (u32, u64);

/// Whether a backend server takes new requests from this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It has asked for a pause until this time.
    Paused(Uptime),
    /// It is leaving and never takes requests again.
    Leaving,
}

/// What one start of a backend server has said about itself in its responses.
///
/// Handles servers that leave or are overloaded while the store's list is late or away. A notice is
/// only ever extended: neither a list nor a response that was sent before it takes it back, and a
/// new start of the server begins without one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether it is leaving. Never reset.
    pub leaving: bool,
    /// End of the pause that it asked for. Never moved back.
    pub paused_until: Uptime,
}

impl Notice {
    /// Notice of a server that asks for a pause, which is limited to [`MAX_PAUSE`].
    pub fn pause(now: Uptime, pause: Duration) -> Notice {
        Notice { leaving: false, paused_until: now + pause.min(MAX_PAUSE) }
    }

    /// Notice of a server that is leaving.
    pub fn leaving() -> Notice {
        Notice { leaving: true, paused_until: Uptime::ZERO }
    }

    /// Adds another notice of the same start. Returns whether this one has changed.
    pub fn merge(&mut self, other: Notice) -> bool {
        let before = *self;
        self.leaving |= other.leaving;
        self.paused_until = self.paused_until.max(other.paused_until);
        *self != before
    }

    /// Whether the server takes new requests now.
    pub fn availability(&self, now: Uptime) -> Availability {
        if self.leaving {
            Availability::Leaving
        } else if now < self.paused_until {
            Availability::Paused(self.paused_until)
        } else {
            Availability::Ready
        }
    }
}

/// Notices by start of a backend server, also of servers that are not in the list.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    /// Notice, and when it was last changed or its server was last listed.
    starts: HashMap<StartKey, (Notice, Uptime)>,
}

impl Notices {
    /// Key of the start that an entry describes.
    pub fn key(entry: &BackendEntry) -> StartKey {
        (short_hash(&entry.id), entry.started_ms)
    }

    /// Notice of a start; an empty one if it has said nothing.
    pub fn get(&self, key: StartKey) -> Notice {
        self.starts.get(&key).map(|(notice, _)| *notice).unwrap_or_default()
    }

    /// Merges a notice into what is known of a start. Returns whether something is new.
    pub fn merge(&mut self, now: Uptime, key: StartKey, notice: Notice) -> bool {
        let (known, at) = self.starts.entry(key).or_default();
        *at = now;
        known.merge(notice)
    }

    /// Starts that are leaving, and those that are paused.
    pub fn active(&self, now: Uptime) -> impl Iterator<Item = (StartKey, Notice)> + '_ {
        let active = self
            .starts
            .iter()
            .filter(move |(_, (notice, _))| notice.availability(now) != Availability::Ready);
        active.map(|(key, (notice, _))| (*key, *notice))
    }

    /// Drops notices of servers that have not been listed for a long time, and pauses that ended.
    pub fn prune(&mut self, now: Uptime, is_listed: impl Fn(StartKey) -> bool) {
        for (key, (_, at)) in &mut self.starts {
            if is_listed(*key) {
                *at = now;
            }
        }
        self.starts.retain(|_, (notice, at)| {
            let kept = now.saturating_sub(*at) < UNLISTED_RETENTION;
            kept && notice.availability(now) != Availability::Ready
        });
    }
}
