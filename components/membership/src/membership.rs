use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use kernel::{ConfigVersion, Incarnation, Uptime, VmEntry, VmId, VmState};
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, RngCore};

use crate::gossip::Gossip;
use crate::member::{Member, Tombstone};
use crate::probe::{ProbeEvent, Probes};
use crate::{MemberStatus, MembershipAction, MembershipMessage, MessageKind, PeerAddress};

/// Interval between two rounds of pings.
pub const PROTOCOL_PERIOD: Duration = Duration::from_millis(200);
/// Pings per protocol period. In a fleet of 44, one case in 100 leaves a dead VM without a ping for
/// 1 s with one ping per period, and for 0.5 s with two.
pub const PINGS_PER_PERIOD: usize = 2;
/// Number of VMs that are asked to ping one that did not respond.
const INDIRECT_PING_FANOUT: usize = 3;
/// Mean number of VMs that ping a suspect.
const MEAN_SUSPECT_PINGERS: f64 = 64.0;
/// Rounds between two pings to a dead VM, which detect that a partition has healed.
const ROUNDS_PER_DEAD_PING: u64 = 5;
/// Gap between two ticks above which this process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);
/// Time for which a change is still repeated in pings after its gossip has ended.
const RECENT_CHANGE_RETENTION: Duration = Duration::from_secs(60);
/// Time for which dead and left VMs are remembered: longer than the platform's list lags, and as
/// long as the longest outage of the store.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(4 * 3600);
/// Maximum lag of the platform's list.
const MAX_LIST_LAG: Duration = Duration::from_secs(15 * 60);
/// Maximum number of list entries that wait for a first ping.
const MAX_CANDIDATES: usize = 128;

/// Time in which a suspect must refute: the log2(`vms`) rounds that an update needs to reach the
/// fleet, but at least five rounds.
pub fn suspicion_timeout(vms: usize) -> Duration {
    PROTOCOL_PERIOD.mul_f64((vms.max(1) as f64).log2().max(5.0))
}

/// SWIM failure detector of one VM.
///
/// A VM is identified by its incarnation. Of two updates about it, the one with the higher
/// generation wins, and only the VM itself raises its generation. An incarnation known as dead or
/// left therefore returns only by its own update; no list can revive it.
#[derive(Debug)]
pub struct Membership {
    pub(crate) own: VmEntry,
    pub(crate) generation: u32,
    pub(crate) members: HashMap<Incarnation, Member>,
    /// Incarnation of each VM name that has one which has not left; it may be dead.
    pub(crate) by_name: HashMap<VmId, Incarnation>,
    /// Dead and left incarnations that never were members here.
    pub(crate) tombstones: HashMap<Incarnation, Tombstone>,
    pub(crate) gossip: Gossip,
    pub(crate) probes: Probes,
    /// Dead and recently changed VMs, in a fixed order; pings repeat their status in turn.
    pub(crate) recent: Vec<Incarnation>,
    /// Index in `recent` of the VM repeated last.
    pub(crate) recent_index: usize,
    /// Live VMs still to ping in this pass, in random order.
    ping_order: Vec<Incarnation>,
    /// Entries of the platform's list that were not pinged yet.
    candidates: Vec<VmEntry>,
    pub(crate) version: ConfigVersion,
    /// Last confirmation that no newer version exists; none before the first.
    pub(crate) confirmed_at: Option<Uptime>,
    next_round: Uptime,
    last_tick: Uptime,
    rounds: u64,
}

impl Membership {
    /// Creates the detector of the VM `own`, which knows no other VM yet.
    pub fn new(now: Uptime, own: VmEntry) -> Self {
        Membership {
            own,
            generation: 0,
            members: HashMap::new(),
            by_name: HashMap::new(),
            tombstones: HashMap::new(),
            gossip: Gossip::default(),
            probes: Probes::default(),
            recent: Vec::new(),
            recent_index: 0,
            ping_order: Vec::new(),
            candidates: Vec::new(),
            version: 0,
            confirmed_at: None,
            next_round: now,
            last_tick: now,
            rounds: 0,
        }
    }

    /// Sets the configuration version that messages announce, and when this VM last had confirmation
    /// that no newer version exists.
    pub fn set_config_version(&mut self, version: ConfigVersion, confirmed: Uptime) {
        self.version = version;
        self.confirmed_at = Some(confirmed);
    }

    /// Merges the platform's list, which may be minutes old.
    ///
    /// Unknown entries become members at once while no other VM has been heard, and otherwise when
    /// they respond to a ping. A live VM is never marked as dead because it is missing in the list.
    /// A VM that has been dead for longer than the list can lag and is missing was removed, and is
    /// marked as left.
    pub fn merge_list(&mut self, now: Uptime, list: &[VmEntry]) -> Vec<MembershipAction> {
        let none_heard = self.members.values().all(|m| m.last_heard.is_none());
        let mut actions = Vec::new();
        let removed =
            |m: &&Member| m.status == MemberStatus::Dead && m.updated_at + MAX_LIST_LAG < now;
        let mut removed: BTreeSet<Incarnation> =
            self.members.values().filter(removed).map(|m| m.entry.incarnation).collect();
        for entry in list {
            removed.remove(&entry.incarnation);
        }
        // An empty list does not mean removals, but a platform that has lost its state.
        for incarnation in removed.into_iter().filter(|_| !list.is_empty()) {
            self.mark_left(now, incarnation, &mut actions);
        }
        for entry in list {
            let incarnation = entry.incarnation;
            let status = self.status(incarnation);
            if entry.state == VmState::Leaving {
                self.mark_left(now, incarnation, &mut actions);
                continue;
            }
            let known = status.is_some_and(|s| s < MemberStatus::Left);
            if known || incarnation == self.own.incarnation || entry.vm == self.own.vm {
                continue;
            }
            let is_candidate = self.candidates.iter().any(|c| c.incarnation == incarnation);
            // A left VM is pinged as well: it may have been removed from the list by mistake.
            if none_heard && status.is_none() && !self.by_name.contains_key(&entry.vm) {
                self.add(now, entry.clone(), 0, None, &mut actions);
            } else if !is_candidate && self.candidates.len() < MAX_CANDIDATES {
                self.candidates.push(entry.clone());
            }
        }
        actions
    }

    /// Announces that this VM is leaving. It keeps sending and acknowledging pings until it stops.
    pub fn leave(&mut self) {
        if self.own.state == VmState::Live {
            self.own.state = VmState::Leaving;
            self.generation += 1;
            self.gossip.queue(self.own.incarnation, self.transmissions());
        }
    }

    /// Sends due pings, and marks VMs as suspect or dead after timeouts. Called every 50 ms.
    pub fn tick(&mut self, now: Uptime, rng: &mut dyn RngCore) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_THRESHOLD {
            // Acks and refutations that arrived during the pause may still be unread.
            self.probes.reset();
            for member in self.members.values_mut().filter(|m| m.status == MemberStatus::Suspect) {
                member.status_since += gap;
            }
        }
        for event in self.probes.check_timeouts(now) {
            match event {
                ProbeEvent::DirectTimeout { seq, peer } => {
                    self.request_indirect_pings(now, seq, peer, rng, &mut actions);
                }
                ProbeEvent::Failed { peer } => self.suspect(now, peer.incarnation, &mut actions),
            }
        }
        self.expire(now, &mut actions);
        if now >= self.next_round {
            self.next_round = (self.next_round + PROTOCOL_PERIOD).max(now);
            self.run_round(now, rng, &mut actions);
        }
        actions
    }

    /// Handles a message from the incarnation `from`.
    pub fn receive(
        &mut self,
        now: Uptime,
        from: Incarnation,
        message: MembershipMessage,
        _rng: &mut dyn RngCore,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let sender = PeerAddress { incarnation: from, address: message.address };
        let mut wrong_about_this = false;
        for update in message.updates {
            wrong_about_this |= self.apply(now, update, &mut actions);
        }
        if let Some(member) = self.members.get_mut(&from) {
            member.last_heard = Some(now);
            if message.up_ms > 0 {
                let up = Duration::from_millis(message.up_ms).as_secs_f64();
                member.started_s.get_or_insert(now.as_secs_f64() - up);
            }
        }
        let unknown_sender = !self.members.contains_key(&from);
        match message.kind {
            MessageKind::Ping { .. } => {
                let introduce = message.unknown || wrong_about_this;
                let ack = self.message(now, from, MessageKind::Ack, message.seq, introduce);
                actions.push(MembershipAction::Send { to: sender, message: ack });
            }
            MessageKind::Ack => {
                if let Some((requester, seq)) = self.probes.record_ack(now, from, message.seq) {
                    let kind = MessageKind::Relayed { incarnation: from };
                    let message = self.message(now, requester.incarnation, kind, seq, false);
                    actions.push(MembershipAction::Send { to: requester, message });
                }
            }
            MessageKind::Request { peer } => {
                if let Some(seq) =
                    self.probes.start_relay(now, sender, message.seq, peer.incarnation)
                {
                    self.ping(now, peer, seq, &mut actions);
                }
            }
            MessageKind::Relayed { incarnation } => {
                self.probes.record_relayed(incarnation, message.seq)
            }
            MessageKind::Hello => {}
        }
        let acked = matches!(message.kind, MessageKind::Ping { .. });
        if !acked && (message.unknown || wrong_about_this || unknown_sender) {
            let introduce = message.unknown || wrong_about_this;
            let hello = self.message(now, from, MessageKind::Hello, 0, introduce);
            actions.push(MembershipAction::Send { to: sender, message: hello });
        }
        actions
    }

    /// Number of messages that carry an update: about log2 of the fleet size.
    pub(crate) fn transmissions(&self) -> u32 {
        ((self.members.len() + 2) as f64).log2().ceil() as u32 + 1
    }

    fn run_round(
        &mut self,
        now: Uptime,
        rng: &mut dyn RngCore,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.rounds += 1;
        if self.rounds == 1 {
            self.gossip.queue(self.own.incarnation, self.transmissions());
        }
        let recent = |m: &&Member| {
            m.status == MemberStatus::Dead || now < m.updated_at + RECENT_CHANGE_RETENTION
        };
        self.recent = self.members.values().filter(recent).map(|m| m.entry.incarnation).collect();
        self.recent.sort_unstable();
        let mut suspect = self.next_suspect(rng);
        for _ in 0..PINGS_PER_PERIOD {
            let Some(peer) = suspect.take().or_else(|| self.next_peer(rng)) else { break };
            let seq = self.probes.start_ping(now, peer);
            self.ping(now, peer, seq, actions);
        }
        let candidate = self
            .candidates
            .pop()
            .map(|c| PeerAddress { incarnation: c.incarnation, address: c.peers });
        let ping_dead = candidate.is_none() && self.rounds.is_multiple_of(ROUNDS_PER_DEAD_PING);
        let dead = |m: &&Member| ping_dead && m.status == MemberStatus::Dead;
        let mut dead: Vec<PeerAddress> =
            self.members.values().filter(dead).map(Member::peer).collect();
        // Sorted because the order of a hash map differs between runs with the same seed.
        dead.sort_unstable();
        if let Some(peer) = candidate.or_else(|| dead.into_iter().choose(rng)) {
            let seq = self.probes.next_seq();
            self.ping(now, peer, seq, actions);
        }
    }

    /// Chooses a suspect that this VM has not pinged yet. Its ack carries the refutation, which
    /// gossip may not deliver in time. In a large fleet only some VMs ping a suspect.
    fn next_suspect(&mut self, rng: &mut dyn RngCore) -> Option<PeerAddress> {
        let probability = (MEAN_SUSPECT_PINGERS / (self.members.len() + 1) as f64).min(1.0);
        let mut unpinged: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|m| m.status == MemberStatus::Suspect && !m.pinged)
            .collect();
        // Sorted because the order of a hash map differs between runs with the same seed.
        unpinged.sort_unstable_by_key(|m| m.entry.incarnation);
        for member in unpinged {
            member.pinged = true;
            if rng.random_bool(probability) {
                return Some(member.peer());
            }
        }
        None
    }

    /// Chooses the next VM to ping. Each pass over the live VMs has its own random order.
    fn next_peer(&mut self, rng: &mut dyn RngCore) -> Option<PeerAddress> {
        for pass in 0..2 {
            while let Some(incarnation) = self.ping_order.pop() {
                if let Some(member) = self.members.get(&incarnation).filter(|m| m.is_live()) {
                    return Some(member.peer());
                }
            }
            if pass == 0 {
                let live = self.members.values().filter(|m| m.is_live());
                self.ping_order = live.map(|m| m.entry.incarnation).collect();
                // Sorted because the order of a hash map differs between runs with the same seed.
                self.ping_order.sort_unstable();
                self.ping_order.shuffle(rng);
            }
        }
        None
    }

    fn request_indirect_pings(
        &mut self,
        now: Uptime,
        seq: u64,
        peer: PeerAddress,
        rng: &mut dyn RngCore,
        actions: &mut Vec<MembershipAction>,
    ) {
        let others = self.members.values().filter(|m| m.status == MemberStatus::Alive);
        let mut others: Vec<PeerAddress> =
            others.map(Member::peer).filter(|p| p.incarnation != peer.incarnation).collect();
        others.sort_unstable();
        for to in others.into_iter().choose_multiple(rng, INDIRECT_PING_FANOUT) {
            let kind = MessageKind::Request { peer };
            let message = self.message(now, to.incarnation, kind, seq, false);
            actions.push(MembershipAction::Send { to, message });
        }
    }

    fn ping(
        &mut self,
        now: Uptime,
        to: PeerAddress,
        seq: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let kind = MessageKind::Ping { to: to.incarnation };
        let message = self.message(now, to.incarnation, kind, seq, false);
        actions.push(MembershipAction::Send { to, message });
    }

    /// Marks suspects that did not refute in time as dead, and removes expired members and
    /// tombstones.
    fn expire(&mut self, now: Uptime, actions: &mut Vec<MembershipAction>) {
        let timeout = suspicion_timeout(self.members.len() + 1);
        let overdue =
            |m: &&Member| m.status == MemberStatus::Suspect && now >= m.status_since + timeout;
        let mut dead: Vec<Incarnation> =
            self.members.values().filter(overdue).map(|m| m.entry.incarnation).collect();
        dead.sort_unstable();
        for incarnation in dead {
            self.mark_dead(now, incarnation, actions);
        }
        let by_name = &mut self.by_name;
        self.members.retain(|incarnation, m| {
            let keep = m.is_live() || now < m.status_since + TOMBSTONE_RETENTION;
            if !keep && by_name.get(&m.entry.vm) == Some(incarnation) {
                by_name.remove(&m.entry.vm);
            }
            keep
        });
        self.tombstones.retain(|_, t| now < t.at + TOMBSTONE_RETENTION);
    }
}
