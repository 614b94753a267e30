use std::time::Duration;

use kernel::{Incarnation, Uptime};

/// Time without a heartbeat of the leader after which the first standby takes over. Heartbeats are
/// sent every 200 ms.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Additional time for each standby of better rank.
const RANK_STEP: Duration = Duration::from_millis(200);
/// Time without a heartbeat after which a VM of the failure domain is no candidate any more.
const PEER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Uptime from which a VM ranks above VMs that have just started: it has had time to load the
/// configuration.
const ESTABLISHED_UPTIME: Duration = Duration::from_millis(1500);

/// Number of VMs with failing calls that a VM passes over when it takes over the watch of the store.
const MAX_PASSED_OVER: u32 = 4;

/// Claim to be the leader of a failure domain; the highest claim wins.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaderClaim {
    /// Incremented with each change of leader. 0 is no claim.
    pub term: u64,
    /// Capacity of the VM in percent of a core: of two claims of one term the larger VM wins.
    pub capacity_percent: u32,
    /// VM that makes the claim, so that two claims of one term are never equal.
    pub vm: Incarnation,
}

/// Heartbeat of a VM to the other VMs of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerHeartbeat {
    /// VM that sends it.
    pub vm: Incarnation,
    /// Time since the VM started.
    pub uptime: Duration,
    /// Capacity relative to a VM with one full core.
    pub capacity: f64,
    /// Its claim, if it is a leader.
    pub claim: LeaderClaim,
    /// Whether it can become leader: it has a configuration and is not stopping.
    pub eligible: bool,
}

impl PeerHeartbeat {
    /// Claim of this VM for a term.
    pub fn claim(&self, term: u64) -> LeaderClaim {
        LeaderClaim { term, capacity_percent: (self.capacity * 100.0) as u32, vm: self.vm }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownPeer {
    heartbeat: PeerHeartbeat,
    received_at: Uptime,
}

/// Role of a VM in its failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Serves the callers of the failure domain.
    Leader,
    /// Takes over when the leader is lost.
    Standby,
}

/// Elects the leader of a failure domain: the VM that serves its callers, so that the evidence
/// about its backend servers and the use of their slots are known in one place.
///
/// Handles the loss of any VM: after 0.7 s without a heartbeat the largest standby takes over, of
/// equal ones the one that started last, which a rolling restart has already passed. Two leaders at
/// once both serve, and the higher claim wins when they receive each other's heartbeat; what they
/// may spend of a rate is up to [`DomainShare`](crate::DomainShare).
#[derive(Debug)]
pub struct Election {
    own: PeerHeartbeat,
    peers: Vec<KnownPeer>,
    /// Highest claim received, and when.
    leader: (LeaderClaim, Uptime),
    max_term: u64,
    /// Since when this VM is eligible; none while it is not.
    eligible_since: Option<Uptime>,
}

impl Election {
    /// State of a VM that has just started.
    pub fn new(now: Uptime, vm: Incarnation, capacity: f64) -> Self {
        let own = PeerHeartbeat {
            vm,
            uptime: Duration::ZERO,
            capacity,
            claim: LeaderClaim::default(),
            eligible: false,
        };
        Election {
            own,
            peers: Vec::new(),
            leader: (LeaderClaim::default(), now),
            max_term: 0,
            eligible_since: None,
        }
    }

    /// Sets whether this VM can become leader. A leader that is no longer eligible steps down.
    pub fn set_eligible(&mut self, eligible: bool) {
        self.own.eligible = eligible;
        if !eligible {
            self.own.claim = LeaderClaim::default();
        }
    }

    /// Heartbeat of this VM to send now.
    pub fn heartbeat(&self, now: Uptime) -> PeerHeartbeat {
        PeerHeartbeat { uptime: now, ..self.own }
    }

    /// Processes the heartbeat of another VM of the failure domain.
    pub fn receive(&mut self, now: Uptime, heartbeat: PeerHeartbeat) {
        if heartbeat.vm == self.own.vm {
            return;
        }
        match self.peers.iter_mut().find(|peer| peer.heartbeat.vm == heartbeat.vm) {
            Some(known) => *known = KnownPeer { heartbeat, received_at: now },
            None => self.peers.push(KnownPeer { heartbeat, received_at: now }),
        }
        self.max_term = self.max_term.max(heartbeat.claim.term);
        if heartbeat.claim.term > 0 {
            if heartbeat.claim >= self.leader.0 {
                self.leader = (heartbeat.claim, now);
            }
            if heartbeat.claim > self.own.claim {
                self.own.claim = LeaderClaim::default();
            }
        } else if self.leader.0.vm == heartbeat.vm {
            // The leader has stepped down, so the next standby need not wait for the timeout.
            self.leader = (LeaderClaim::default(), now.saturating_sub(TAKEOVER_TIMEOUT));
        }
    }

    /// Removes a VM that has announced that it stops.
    pub fn remove_vm(&mut self, now: Uptime, vm: Incarnation) {
        self.peers.retain(|peer| peer.heartbeat.vm != vm);
        if self.leader.0.vm == vm {
            self.leader = (LeaderClaim::default(), now.saturating_sub(TAKEOVER_TIMEOUT));
        }
    }

    fn rank_key(heartbeat: &PeerHeartbeat) -> (bool, u32, std::cmp::Reverse<u64>, Incarnation) {
        let capacity = (heartbeat.capacity * 100.0) as u32;
        let uptime = heartbeat.uptime.as_secs();
        (heartbeat.uptime >= ESTABLISHED_UPTIME, capacity, std::cmp::Reverse(uptime), heartbeat.vm)
    }

    /// Live eligible VMs of better rank.
    fn ahead(&self, now: Uptime) -> impl Iterator<Item = Incarnation> {
        let own = Self::rank_key(&self.heartbeat(now));
        let live = self
            .peers
            .iter()
            .filter(move |peer| peer.received_at + PEER_TIMEOUT > now && peer.heartbeat.eligible);
        let ahead = live.filter(move |peer| {
            let age = now.saturating_sub(peer.received_at);
            let heartbeat = PeerHeartbeat { uptime: peer.heartbeat.uptime + age, ..peer.heartbeat };
            Self::rank_key(&heartbeat) > own
        });
        ahead.map(|peer| peer.heartbeat.vm)
    }

    /// Number of eligible VMs of better rank.
    fn count_ahead(&self, now: Uptime) -> u32 {
        u32::try_from(self.ahead(now).count()).unwrap_or(u32::MAX)
    }

    /// Decides the role of this VM. Called every 100 ms and after a heartbeat.
    pub fn poll(&mut self, now: Uptime) -> Role {
        self.peers.retain(|peer| peer.received_at + PEER_TIMEOUT > now);
        if self.own.claim.term > 0 {
            self.leader = (self.own.claim, now);
            return Role::Leader;
        }
        if !self.own.eligible {
            self.eligible_since = None;
            return Role::Standby;
        }
        // VMs that start together become eligible one after the other. The time before that does
        // not count as silence of a leader.
        let since = *self.eligible_since.get_or_insert(now);
        let (claim, received_at) = self.leader;
        let timeout = if claim.term > 0 || received_at > Uptime::ZERO {
            TAKEOVER_TIMEOUT
        } else {
            Duration::ZERO
        };
        let wait = timeout + RANK_STEP * self.count_ahead(now);
        if now.saturating_sub(received_at.max(since)) >= wait {
            self.max_term += 1;
            self.own.claim = self.own.claim(self.max_term);
            self.leader = (self.own.claim, now);
            return Role::Leader;
        }
        Role::Standby
    }

    /// Whether this VM claims to be the leader.
    pub fn leads(&self) -> bool {
        self.own.claim.term > 0
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<Incarnation> {
        (self.leader.0.term > 0).then_some(self.leader.0.vm)
    }

    /// Live eligible VMs of the failure domain including this one, by rank.
    pub fn eligible_vms(&self, now: Uptime) -> Vec<Incarnation> {
        let mut heartbeats: Vec<PeerHeartbeat> = self
            .peers
            .iter()
            .filter(|peer| peer.received_at + PEER_TIMEOUT > now)
            .map(|peer| peer.heartbeat)
            .collect();
        heartbeats.push(self.heartbeat(now));
        heartbeats.retain(|b| b.eligible);
        heartbeats.sort_by_key(|b| std::cmp::Reverse(Self::rank_key(b)));
        heartbeats.into_iter().map(|b| b.vm).collect()
    }

    /// Number of VMs that read the store before this one while no VM is eligible.
    ///
    /// Handles the start of all VMs at once: the largest one has the network link and the processor
    /// to read a large configuration and to send it to the others.
    pub fn store_read_rank(&self, now: Uptime) -> u32 {
        let order = |heartbeat: &PeerHeartbeat| ((heartbeat.capacity * 100.0) as u32, heartbeat.vm);
        let own = order(&self.own);
        let live = self.peers.iter().filter(|peer| peer.received_at + PEER_TIMEOUT > now);
        u32::try_from(live.filter(|peer| order(&peer.heartbeat) > own).count()).unwrap_or(u32::MAX)
    }

    /// Number of VMs that watch the store before this one when the data is stale.
    ///
    /// Handles a store that refuses some VMs, perhaps all of the best ones: those whose calls are
    /// known to fail are passed over. Their number is limited, because a store that refuses all VMs
    /// gets calls from every VM that nobody precedes.
    pub fn watch_rank(&self, now: Uptime, is_failing: impl Fn(Incarnation) -> bool) -> u32 {
        if self.own.claim.term > 0 {
            return 0;
        }
        let mut failing = 0;
        let working = self.ahead(now).filter(|vm| {
            failing += u32::from(is_failing(*vm));
            !is_failing(*vm)
        });
        let working = u32::try_from(working.count()).unwrap_or(u32::MAX);
        working.saturating_add(failing.saturating_sub(MAX_PASSED_OVER))
    }
}
