use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use kernel::{ConfigVersion, Incarnation, Uptime, VmEntry, VmId, VmState};
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, RngCore};

use crate::gossip::Gossip;
use crate::member::{Burial, Member};
use crate::probe::{ProbeEvent, Probes};
use crate::{MembershipAction, MembershipMessage, MessageKind, Peer, Status};

/// Time between two rounds of pings.
pub const PERIOD: Duration = Duration::from_millis(200);
/// Pings of a round. With one, a dead VM of 44 stays unpinged for 1 s in one of 100 cases; with
/// two for 0.5 s.
pub const PINGS: usize = 2;
/// VMs that are asked to ping one that does not answer.
const HELPERS: usize = 3;
/// VMs that ping a suspect, as a mean.
const CHECKS: f64 = 64.0;
/// Rounds between two pings of a VM taken for dead, so that a healed partition is noticed.
const DEAD_ROUNDS: u64 = 5;
/// Silence between two ticks after which this process is taken to have been paused.
const PAUSE: Duration = Duration::from_millis(600);
/// Time that a change is mentioned now and then, after its gossip has ended.
const RECENT: Duration = Duration::from_secs(60);
/// Time that dead VMs and those that left are remembered: longer than the list of the platform
/// lags, and as long as the longest outage of the store.
const REMEMBER: Duration = Duration::from_secs(4 * 3600);
/// Longest time that the list of the platform lags.
const LIST_LAG: Duration = Duration::from_secs(15 * 60);
/// Most entries of the list that wait for a first answer.
const MOST_CANDIDATES: usize = 128;

/// Time that a suspect has to refute: five rounds, or as many as an update needs to reach a fleet
/// of `vms`.
pub fn suspicion(vms: usize) -> Duration {
    PERIOD.mul_f64((vms.max(1) as f64).log2().max(5.0))
}

/// Failure detector of one VM, in the manner of SWIM.
///
/// A VM is known by its incarnation. Of two statements about it the one of the higher generation
/// holds, and only the VM itself raises its generation; so an incarnation known dead or left comes
/// back by its own word alone, and no list can revive it.
#[derive(Debug)]
pub struct Membership {
    pub(crate) own: VmEntry,
    pub(crate) generation: u32,
    pub(crate) members: HashMap<Incarnation, Member>,
    /// Incarnation of each VM name that is live or dead, but not left.
    pub(crate) names: HashMap<VmId, Incarnation>,
    /// Dead and left incarnations of which no description was known.
    pub(crate) buried: HashMap<Incarnation, Burial>,
    pub(crate) gossip: Gossip,
    pub(crate) probes: Probes,
    /// VMs that changed lately or are taken for dead, in fixed order, and the next one to mention.
    pub(crate) recent: Vec<Incarnation>,
    pub(crate) turn: usize,
    /// VMs still to ping in this pass, in random order.
    ring: Vec<Incarnation>,
    /// Entries of the platform's list that have not answered yet.
    candidates: Vec<VmEntry>,
    pub(crate) version: ConfigVersion,
    /// Last confirmation that no newer version exists; none before the first.
    pub(crate) confirmed: Option<Uptime>,
    next: Uptime,
    last: Uptime,
    rounds: u64,
}

impl Membership {
    /// A detector for the VM `own`, which knows no other VM yet.
    pub fn new(now: Uptime, own: VmEntry) -> Self {
        Membership {
            own,
            generation: 0,
            members: HashMap::new(),
            names: HashMap::new(),
            buried: HashMap::new(),
            gossip: Gossip::default(),
            probes: Probes::default(),
            recent: Vec::new(),
            turn: 0,
            ring: Vec::new(),
            candidates: Vec::new(),
            version: 0,
            confirmed: None,
            next: now,
            last: now,
            rounds: 0,
        }
    }

    /// Sets what messages say of the configuration: its version, and when this VM last had
    /// confirmation that no newer one exists.
    pub fn set_configuration(&mut self, version: ConfigVersion, confirmed: Uptime) {
        self.version = version;
        self.confirmed = Some(confirmed);
    }

    /// Takes over the platform's list, which may be minutes old.
    ///
    /// Entries unknown so far become members at once while no other VM has been heard, and
    /// otherwise when they answer. A missing entry never kills; a VM that has been dead for longer
    /// than the list can lag and is missing was removed, and no longer counts as known.
    pub fn seed(&mut self, now: Uptime, list: &[VmEntry]) -> Vec<MembershipAction> {
        let alone = self.members.values().all(|m| m.heard.is_none());
        let mut actions = Vec::new();
        let removed = |m: &&Member| m.status == Status::Dead && m.changed + LIST_LAG < now;
        let mut removed: BTreeSet<Incarnation> =
            self.members.values().filter(removed).map(|m| m.entry.incarnation).collect();
        for entry in list {
            removed.remove(&entry.incarnation);
        }
        // An empty list tells of no removal but of a service that has lost its state.
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
            let known = status.is_some_and(|s| s < Status::Left);
            if known || incarnation == self.own.incarnation || entry.vm == self.own.vm {
                continue;
            }
            let waits = self.candidates.iter().any(|c| c.incarnation == incarnation);
            // One that left is pinged, too: it may have been removed from the list by mistake.
            if alone && status.is_none() && !self.names.contains_key(&entry.vm) {
                self.add(now, entry.clone(), 0, None, &mut actions);
            } else if !waits && self.candidates.len() < MOST_CANDIDATES {
                self.candidates.push(entry.clone());
            }
        }
        actions
    }

    /// Announces that this VM leaves. It goes on pinging and answering until it stops.
    pub fn leave(&mut self) {
        if self.own.state == VmState::Live {
            self.own.state = VmState::Leaving;
            self.generation += 1;
            self.gossip.queue(self.own.incarnation, self.transmissions());
        }
    }

    /// Sends the pings that are due and draws conclusions from silence. Called every 50 ms.
    pub fn tick(&mut self, now: Uptime, rng: &mut dyn RngCore) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let gap = now.saturating_sub(self.last);
        self.last = now;
        if gap > PAUSE {
            // Answers and refutations may still be unread after a pause.
            self.probes.reset();
            for member in self.members.values_mut().filter(|m| m.status == Status::Suspect) {
                member.since += gap;
            }
        }
        for event in self.probes.poll(now) {
            match event {
                ProbeEvent::AskOthers { seq, peer } => {
                    self.ask_others(now, seq, peer, rng, &mut actions);
                }
                ProbeEvent::Silent { peer } => self.suspect(now, peer.incarnation, &mut actions),
            }
        }
        self.bury(now, &mut actions);
        if now >= self.next {
            self.next = (self.next + PERIOD).max(now);
            self.round(now, rng, &mut actions);
        }
        actions
    }

    /// Takes a message from the process start `from`.
    pub fn receive(
        &mut self,
        now: Uptime,
        from: Incarnation,
        message: MembershipMessage,
        _rng: &mut dyn RngCore,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let sender = Peer { incarnation: from, address: message.address };
        let mut doubted = false;
        for update in message.updates {
            doubted |= self.apply(now, update, &mut actions);
        }
        if let Some(member) = self.members.get_mut(&from) {
            member.heard = Some(now);
            if message.up_ms > 0 {
                let up = Duration::from_millis(message.up_ms).as_secs_f64();
                member.started.get_or_insert(now.as_secs_f64() - up);
            }
        }
        let stranger = !self.members.contains_key(&from);
        match message.kind {
            MessageKind::Ping { .. } => {
                let introduce = message.unknown || doubted;
                let ack = self.message(now, from, MessageKind::Ack, message.seq, introduce);
                actions.push(MembershipAction::Send { to: sender, message: ack });
            }
            MessageKind::Ack => {
                if let Some((asker, seq)) = self.probes.answered(now, from, message.seq) {
                    let kind = MessageKind::Relayed { incarnation: from };
                    let message = self.message(now, asker.incarnation, kind, seq, false);
                    actions.push(MembershipAction::Send { to: asker, message });
                }
            }
            MessageKind::Request { peer } => {
                if let Some(seq) = self.probes.relay(now, sender, message.seq, peer.incarnation) {
                    self.ping(now, peer, seq, &mut actions);
                }
            }
            MessageKind::Relayed { incarnation } => self.probes.relayed(incarnation, message.seq),
            MessageKind::Hello => {}
        }
        let answered = matches!(message.kind, MessageKind::Ping { .. });
        if !answered && (message.unknown || doubted || stranger) {
            let introduce = message.unknown || doubted;
            let hello = self.message(now, from, MessageKind::Hello, 0, introduce);
            actions.push(MembershipAction::Send { to: sender, message: hello });
        }
        actions
    }

    /// Number of messages that carry an update: about log2 of the fleet's size.
    pub(crate) fn transmissions(&self) -> u32 {
        ((self.members.len() + 2) as f64).log2().ceil() as u32 + 1
    }

    fn round(&mut self, now: Uptime, rng: &mut dyn RngCore, actions: &mut Vec<MembershipAction>) {
        self.rounds += 1;
        if self.rounds == 1 {
            self.gossip.queue(self.own.incarnation, self.transmissions());
        }
        let recent = |m: &&Member| m.status == Status::Dead || now < m.changed + RECENT;
        self.recent = self.members.values().filter(recent).map(|m| m.entry.incarnation).collect();
        self.recent.sort_unstable();
        let mut suspect = self.next_suspect(rng);
        for _ in 0..PINGS {
            let Some(peer) = suspect.take().or_else(|| self.next_peer(rng)) else { break };
            let seq = self.probes.open(now, peer);
            self.ping(now, peer, seq, actions);
        }
        let candidate =
            self.candidates.pop().map(|c| Peer { incarnation: c.incarnation, address: c.peers });
        let due = candidate.is_none() && self.rounds.is_multiple_of(DEAD_ROUNDS);
        let dead = |m: &&Member| due && m.status == Status::Dead;
        let mut dead: Vec<Peer> = self.members.values().filter(dead).map(Member::peer).collect();
        // The order of a hash map differs between runs of one seed.
        dead.sort_unstable();
        if let Some(peer) = candidate.or_else(|| dead.into_iter().choose(rng)) {
            let seq = self.probes.next_seq();
            self.ping(now, peer, seq, actions);
        }
    }

    /// A suspect that this VM has not pinged as such. Its answer carries the refutation, which the
    /// gossip may not bring in time. In a large fleet only some VMs ping a suspect.
    fn next_suspect(&mut self, rng: &mut dyn RngCore) -> Option<Peer> {
        let part = (CHECKS / (self.members.len() + 1) as f64).min(1.0);
        let mut open: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|m| m.status == Status::Suspect && !m.checked)
            .collect();
        // The order of a hash map differs between runs of one seed.
        open.sort_unstable_by_key(|m| m.entry.incarnation);
        for member in open {
            member.checked = true;
            if rng.random_bool(part) {
                return Some(member.peer());
            }
        }
        None
    }

    /// The next VM to ping. Each pass over the live VMs has its own random order.
    fn next_peer(&mut self, rng: &mut dyn RngCore) -> Option<Peer> {
        for pass in 0..2 {
            while let Some(incarnation) = self.ring.pop() {
                if let Some(member) = self.members.get(&incarnation).filter(|m| m.is_live()) {
                    return Some(member.peer());
                }
            }
            if pass == 0 {
                let live = self.members.values().filter(|m| m.is_live());
                self.ring = live.map(|m| m.entry.incarnation).collect();
                // The order of a hash map differs between runs of one seed.
                self.ring.sort_unstable();
                self.ring.shuffle(rng);
            }
        }
        None
    }

    fn ask_others(
        &mut self,
        now: Uptime,
        seq: u64,
        peer: Peer,
        rng: &mut dyn RngCore,
        actions: &mut Vec<MembershipAction>,
    ) {
        let others = self.members.values().filter(|m| m.status == Status::Alive);
        let mut others: Vec<Peer> =
            others.map(Member::peer).filter(|p| p.incarnation != peer.incarnation).collect();
        others.sort_unstable();
        for to in others.into_iter().choose_multiple(rng, HELPERS) {
            let kind = MessageKind::Request { peer };
            let message = self.message(now, to.incarnation, kind, seq, false);
            actions.push(MembershipAction::Send { to, message });
        }
    }

    fn ping(&mut self, now: Uptime, to: Peer, seq: u64, actions: &mut Vec<MembershipAction>) {
        let kind = MessageKind::Ping { to: to.incarnation };
        let message = self.message(now, to.incarnation, kind, seq, false);
        actions.push(MembershipAction::Send { to, message });
    }

    /// Takes suspects that did not refute for dead, and forgets what is old.
    fn bury(&mut self, now: Uptime, actions: &mut Vec<MembershipAction>) {
        let wait = suspicion(self.members.len() + 1);
        let late = |m: &&Member| m.status == Status::Suspect && now >= m.since + wait;
        let mut dead: Vec<Incarnation> =
            self.members.values().filter(late).map(|m| m.entry.incarnation).collect();
        dead.sort_unstable();
        for incarnation in dead {
            self.mark_dead(now, incarnation, actions);
        }
        let names = &mut self.names;
        self.members.retain(|incarnation, m| {
            let keep = m.is_live() || now < m.since + REMEMBER;
            if !keep && names.get(&m.entry.vm) == Some(incarnation) {
                names.remove(&m.entry.vm);
            }
            keep
        });
        self.buried.retain(|_, b| now < b.at + REMEMBER);
    }
}
