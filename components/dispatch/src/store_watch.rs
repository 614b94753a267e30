use std::time::Duration;

/// Time without a heartbeat of the leader after which every standby watches the store itself.
/// Longer than the takeover by another standby takes, well below the 2.5 s in which a change must
/// be in force.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(1100);
/// Staleness from which the first standby watches too. Longer than a long poll of the leader waits
/// for changes.
const MAX_STALENESS: Duration = Duration::from_millis(1900);
/// Staleness from which the first standby watches when the leader has reported that its calls to
/// the store fail.
const MAX_STALENESS_STORE_FAILING: Duration = Duration::from_millis(300);
/// Additional staleness for each standby of better rank.
const STALENESS_STEP: Duration = Duration::from_millis(400);
/// Time for which a VM waits, after its announcement, for the data of the other VMs.
const REPLY_WAIT: Duration = Duration::from_millis(80);
/// Additional time for each VM of better rank: reading a large configuration over the link between
/// regions takes that long, and all VMs at once would saturate the link.
const REPLY_WAIT_STEP: Duration = Duration::from_millis(250);
/// Uptime after which a VM that could not announce itself reads the store nevertheless.
const UNANNOUNCED_WAIT: Duration = Duration::from_millis(800);

/// Staleness up to which a starting VM serves with the data of another VM. A change of the
/// configuration must be in force after 2.5 s.
const MAX_START_STALENESS: Duration = Duration::from_millis(2000);
/// Time after which a starting VM serves with stale data although its own call to the store has
/// neither succeeded nor failed.
const MAX_START_WAIT: Duration = Duration::from_millis(1500);

/// Whether a starting VM may serve with the data that it has from other VMs.
///
/// Handles a VM that starts and syncs from one that is cut off from the store, paused or just
/// resumed: a key that was withdrawn or a backend server that has left would be in use again. The
/// store itself, or its recent response to another VM, must confirm the data. Stale data is better
/// than none only if this VM cannot reach the store either.
pub fn may_start_serving(staleness: Duration, store_failed: bool, waited: Duration) -> bool {
    staleness <= MAX_START_STALENESS || store_failed || waited > MAX_START_WAIT
}

/// Why a VM watches the store itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchReason {
    /// It is the leader of its failure domain.
    Leader,
    /// It has data of other VMs that the store has not confirmed.
    Unconfirmed,
    /// No VM has sent it any data.
    NoData,
    /// The leader sends no heartbeats.
    LeaderSilent,
    /// The data was not confirmed for too long.
    Stale,
}

impl WatchReason {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            WatchReason::Leader => "leader",
            WatchReason::Unconfirmed => "unconfirmed",
            WatchReason::NoData => "no-data",
            WatchReason::LeaderSilent => "leader-silent",
            WatchReason::Stale => "stale",
        }
    }
}

/// State from which a VM decides whether to watch the store itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchConditions {
    /// Whether this VM is the leader of its failure domain.
    pub is_leader: bool,
    /// Number of VMs that start to watch before this one.
    pub rank: u32,
    /// Time since the start of this process.
    pub uptime: Duration,
    /// Time since it announced itself to the other VMs of its failure domain; none before.
    pub since_announced: Option<Duration>,
    /// Whether it has a configuration and a list of backend servers.
    pub synced: bool,
    /// Whether it has them, but may not serve yet because they are stale.
    pub unconfirmed: bool,
    /// Time since the store last confirmed its data, to itself or to another VM.
    pub staleness: Duration,
    /// Time since the last heartbeat of the leader; none before the first.
    pub leader_silence: Option<Duration>,
    /// Whether the leader has reported that its calls to the store fail.
    pub leader_failing: bool,
}

impl WatchConditions {
    /// Why this VM watches the store; none if it does not.
    ///
    /// Handles VMs that are cut off from the others but not from the store, and a store that
    /// refuses some VMs: in normal operation few VMs watch, and every VM that receives nothing
    /// does.
    pub fn watch_reason(&self) -> Option<WatchReason> {
        if self.is_leader {
            return Some(WatchReason::Leader);
        }
        if self.unconfirmed {
            return Some(WatchReason::Unconfirmed);
        }
        if !self.synced {
            let waited = match self.since_announced {
                Some(age) => age > REPLY_WAIT + REPLY_WAIT_STEP * self.rank,
                None => self.uptime > UNANNOUNCED_WAIT,
            };
            return waited.then_some(WatchReason::NoData);
        }
        if self.leader_silence.unwrap_or(self.uptime) > MAX_LEADER_SILENCE {
            return Some(WatchReason::LeaderSilent);
        }
        let max_staleness =
            if self.leader_failing { MAX_STALENESS_STORE_FAILING } else { MAX_STALENESS };
        (self.staleness > max_staleness + STALENESS_STEP * self.rank).then_some(WatchReason::Stale)
    }

    /// Whether this VM watches the store.
    pub fn should_watch(&self) -> bool {
        self.watch_reason().is_some()
    }
}
