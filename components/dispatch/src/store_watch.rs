use std::time::Duration;

/// Silence of the home after which every standby watches the store itself. Longer than the time
/// in which another standby takes over, well below the 2.5 s in which a change must be in force.
const CUT_OFF: Duration = Duration::from_millis(1100);
/// Age of what the failure domain knows from which the first standby watches too: more than a
/// feed of the home waits.
const STALE: Duration = Duration::from_millis(1900);
/// Age from which the first standby watches when the home has said that its calls fail.
const FAILING: Duration = Duration::from_millis(300);
/// More age for each standby that stands before.
const STEP: Duration = Duration::from_millis(400);
/// Time after a VM has announced itself in which the others can answer with what they know.
const ANSWER_WAIT: Duration = Duration::from_millis(80);
/// More time for each VM that stands before: reading a large configuration over the link between
/// regions takes that long, and all VMs at once would fill it.
const ANSWER_STEP: Duration = Duration::from_millis(250);
/// Time after which a VM that could not announce the others reads the store all the same.
const UNANNOUNCED: Duration = Duration::from_millis(800);

/// What a VM knows of its failure domain when it decides whether to watch the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreWatch {
    /// Whether this VM is the home.
    pub is_leader: bool,
    /// Standbys that stand before this one.
    pub rank: u32,
    /// Time since the start of this process.
    pub uptime: Duration,
    /// Time since it announced itself to the other VMs of its failure domain; none before.
    pub since_announced: Option<Duration>,
    /// Whether it has a configuration and a list of backend servers.
    pub initialized: bool,
    /// Time since the store confirmed what it knows, to itself or to another VM.
    pub staleness: Duration,
    /// Time since the home was heard; none before the first time.
    pub leader_silence: Option<Duration>,
    /// Whether the home has said that its calls to the store fail.
    pub leader_failing: bool,
}

impl StoreWatch {
    /// Whether this VM watches the store.
    ///
    /// Answers VMs that are cut off from the others but not from the store, and a store that
    /// refuses some VMs: few VMs watch while all is well, and every VM that hears nothing does.
    pub fn should_watch(&self) -> bool {
        if self.is_leader {
            return true;
        }
        if !self.initialized {
            return match self.since_announced {
                Some(age) => age > ANSWER_WAIT + ANSWER_STEP * self.rank,
                None => self.uptime > UNANNOUNCED,
            };
        }
        if self.leader_silence.unwrap_or(self.uptime) > CUT_OFF {
            return true;
        }
        let stale = if self.leader_failing { FAILING } else { STALE };
        self.staleness > stale + STEP * self.rank
    }
}
