use std::time::Duration;

use kernel::{Incarnation, Uptime};

/// Silence of the home after which the first standby takes over. Beats come every 200 ms.
const SILENCE: Duration = Duration::from_millis(700);
/// More silence for each standby that stands before.
const STEP: Duration = Duration::from_millis(200);
/// Silence after which a VM of the failure domain no longer stands in line.
const LOST: Duration = Duration::from_millis(3500);
/// Uptime from which a VM stands in line: it has had time to learn the configuration.
const SETTLED: Duration = Duration::from_millis(1500);

/// Claim to serve the callers of a failure domain; the higher claim wins.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claim {
    /// Raised with each change of the home. Zero is no claim.
    pub term: u64,
    /// Capacity of the VM in hundredths of a core: of two claims of one term the more powerful wins.
    pub capacity_percent: u32,
    /// VM that claims, so that two claims of one term differ.
    pub vm: Incarnation,
}

/// Heartbeat of a VM to the others of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerHeartbeat {
    /// The VM.
    pub vm: Incarnation,
    /// Time since its start.
    pub uptime: Duration,
    /// Capacity relative to a VM with one whole core.
    pub capacity: f64,
    /// Its claim, if it is a home.
    pub claim: Claim,
    /// Whether it is able to serve: it knows a configuration and is not stopping.
    pub eligible: bool,
}

impl PeerHeartbeat {
    /// The claim of this VM for a term.
    pub fn claim(&self, term: u64) -> Claim {
        Claim { term, capacity_percent: (self.capacity * 100.0) as u32, vm: self.vm }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    beat: PeerHeartbeat,
    at: Uptime,
}

/// Part of a VM in its failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Serves the callers of the failure domain.
    Leader,
    /// Takes over when the home is lost.
    Standby,
}

/// Chooses the VM that serves the callers of a failure domain, so that evidence and slots of its
/// backend servers meet in one place.
///
/// Answers the loss of any VM: the most powerful standby takes over after 0.7 s of silence, of
/// equal ones the one that started last, which a rolling restart has already passed. Two homes at
/// once do no harm: both serve, and the higher claim wins when they hear each other.
#[derive(Debug)]
pub struct Election {
    own: PeerHeartbeat,
    others: Vec<Known>,
    /// Highest claim heard, and when.
    leader: (Claim, Uptime),
    highest: u64,
    /// When this VM became able to serve; none while it is not.
    eligible_since: Option<Uptime>,
}

impl Election {
    /// A VM at its start.
    pub fn new(now: Uptime, vm: Incarnation, capacity: f64) -> Self {
        let own = PeerHeartbeat {
            vm,
            uptime: Duration::ZERO,
            capacity,
            claim: Claim::default(),
            eligible: false,
        };
        Election {
            own,
            others: Vec::new(),
            leader: (Claim::default(), now),
            highest: 0,
            eligible_since: None,
        }
    }

    /// Sets whether this VM is able to serve. A home that is not steps down.
    pub fn set_eligible(&mut self, eligible: bool) {
        self.own.eligible = eligible;
        if !eligible {
            self.own.claim = Claim::default();
        }
    }

    /// Heartbeat of this VM.
    pub fn heartbeat(&self, now: Uptime) -> PeerHeartbeat {
        PeerHeartbeat { uptime: now, ..self.own }
    }

    /// Takes the beat of another VM of the failure domain.
    pub fn receive(&mut self, now: Uptime, beat: PeerHeartbeat) {
        if beat.vm == self.own.vm {
            return;
        }
        match self.others.iter_mut().find(|k| k.beat.vm == beat.vm) {
            Some(known) => *known = Known { beat, at: now },
            None => self.others.push(Known { beat, at: now }),
        }
        self.highest = self.highest.max(beat.claim.term);
        if beat.claim.term > 0 {
            if beat.claim >= self.leader.0 {
                self.leader = (beat.claim, now);
            }
            if beat.claim > self.own.claim {
                self.own.claim = Claim::default();
            }
        } else if self.leader.0.vm == beat.vm {
            // The home has stepped down: the line moves at once.
            self.leader = (Claim::default(), now.saturating_sub(SILENCE));
        }
    }

    /// Forgets a VM that has said that it stops.
    pub fn remove_vm(&mut self, now: Uptime, vm: Incarnation) {
        self.others.retain(|k| k.beat.vm != vm);
        if self.leader.0.vm == vm {
            self.leader = (Claim::default(), now.saturating_sub(SILENCE));
        }
    }

    fn rank_key(beat: &PeerHeartbeat) -> (bool, u32, std::cmp::Reverse<u64>, Incarnation) {
        let capacity = (beat.capacity * 100.0) as u32;
        let uptime = beat.uptime.as_secs();
        (beat.uptime >= SETTLED, capacity, std::cmp::Reverse(uptime), beat.vm)
    }

    /// Able VMs that stand before this one.
    fn before(&self, now: Uptime) -> u32 {
        let own = Self::rank_key(&self.heartbeat(now));
        let live = self.others.iter().filter(|k| k.at + LOST > now && k.beat.eligible);
        let ahead = live.filter(|k| {
            let age = now.saturating_sub(k.at);
            let beat = PeerHeartbeat { uptime: k.beat.uptime + age, ..k.beat };
            Self::rank_key(&beat) > own
        });
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    /// Decides the part of this VM. Called every 100 ms and after a beat.
    pub fn poll(&mut self, now: Uptime) -> Role {
        self.others.retain(|k| k.at + LOST > now);
        if self.own.claim.term > 0 {
            self.leader = (self.own.claim, now);
            return Role::Leader;
        }
        if !self.own.eligible {
            self.eligible_since = None;
            return Role::Standby;
        }
        // VMs that start together become able in turn: the silence before that says nothing.
        let since = *self.eligible_since.get_or_insert(now);
        let (claim, heard) = self.leader;
        let silence = if claim.term > 0 || heard > Uptime::ZERO { SILENCE } else { Duration::ZERO };
        let wait = silence + STEP * self.before(now);
        if now.saturating_sub(heard.max(since)) >= wait {
            self.highest += 1;
            self.own.claim = self.own.claim(self.highest);
            self.leader = (self.own.claim, now);
            return Role::Leader;
        }
        Role::Standby
    }

    /// The VM that serves, if one is known.
    pub fn leader(&self) -> Option<Incarnation> {
        (self.leader.0.term > 0).then_some(self.leader.0.vm)
    }

    /// Live VMs of the failure domain that are able to serve, best first, this VM included.
    pub fn eligible_vms(&self, now: Uptime) -> Vec<Incarnation> {
        let mut beats: Vec<PeerHeartbeat> =
            self.others.iter().filter(|k| k.at + LOST > now).map(|k| k.beat).collect();
        beats.push(self.heartbeat(now));
        beats.retain(|b| b.eligible);
        beats.sort_by_key(|b| std::cmp::Reverse(Self::rank_key(b)));
        beats.into_iter().map(|b| b.vm).collect()
    }

    /// VMs that read the store before this one while none is able to serve.
    ///
    /// Answers the return of all VMs at once: the most powerful one has the link and the processor
    /// to read a large configuration and to hand it to the others.
    pub fn store_read_rank(&self, now: Uptime) -> u32 {
        let order = |beat: &PeerHeartbeat| ((beat.capacity * 100.0) as u32, beat.vm);
        let own = order(&self.own);
        let live = self.others.iter().filter(|k| k.at + LOST > now);
        u32::try_from(live.filter(|k| order(&k.beat) > own).count()).unwrap_or(u32::MAX)
    }

    /// Standbys that stand before this one; none for the home.
    pub fn takeover_rank(&self, now: Uptime) -> u32 {
        if self.own.claim.term > 0 { 0 } else { self.before(now) }
    }
}
