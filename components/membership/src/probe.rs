use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use kernel::{Incarnation, Uptime};

use crate::Peer;

/// Wait for a direct answer: more than the round trip between regions.
const DIRECT: Duration = Duration::from_millis(200);
/// Further wait for an answer through others: four times the latency between regions and reserve.
const INDIRECT: Duration = Duration::from_millis(250);
/// Time that a ping for another VM is remembered.
const RELAY: Duration = Duration::from_secs(1);
/// Most pings for other VMs at once.
const MOST_RELAYS: usize = 64;
/// Time that results of pings are remembered.
const RESULTS: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Probe {
    peer: Peer,
    sent: Uptime,
    /// Whether others were asked to ping.
    indirect: bool,
}

#[derive(Debug)]
struct Relay {
    asker: Peer,
    seq: u64,
    peer: Incarnation,
    sent: Uptime,
}

/// What a ping has come to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ProbeEvent {
    /// No direct answer; others should ping.
    AskOthers { seq: u64, peer: Peer },
    /// No answer at all.
    Silent { peer: Peer },
}

/// Pings that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    open: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
    /// Times of pings and whether they were answered directly.
    results: VecDeque<(Uptime, bool)>,
    seq: u64,
}

impl Probes {
    pub fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    pub fn open(&mut self, now: Uptime, peer: Peer) -> u64 {
        let seq = self.next_seq();
        self.open.insert(seq, Probe { peer, sent: now, indirect: false });
        seq
    }

    /// Notes a ping for another VM; none if there are too many.
    pub fn relay(&mut self, now: Uptime, asker: Peer, seq: u64, peer: Incarnation) -> Option<u64> {
        if self.relays.len() >= MOST_RELAYS {
            return None;
        }
        let own = self.next_seq();
        self.relays.insert(own, Relay { asker, seq, peer, sent: now });
        Some(own)
    }

    /// Takes a direct answer; returns who asked for the ping, if it was for another VM.
    pub fn answered(&mut self, now: Uptime, from: Incarnation, seq: u64) -> Option<(Peer, u64)> {
        if self.open.get(&seq).is_some_and(|p| p.peer.incarnation == from) {
            self.open.remove(&seq);
            self.results.push_back((now, true));
        }
        let relay = self.relays.get(&seq).filter(|r| r.peer == from)?;
        let asker = (relay.asker, relay.seq);
        self.relays.remove(&seq);
        Some(asker)
    }

    /// Takes an answer through another VM.
    pub fn relayed(&mut self, incarnation: Incarnation, seq: u64) {
        if self.open.get(&seq).is_some_and(|p| p.peer.incarnation == incarnation) {
            self.open.remove(&seq);
        }
    }

    /// Forgets all open pings, after a pause of this process in which answers were not read.
    pub fn reset(&mut self) {
        self.open.clear();
    }

    pub fn poll(&mut self, now: Uptime) -> Vec<ProbeEvent> {
        let mut events = Vec::new();
        let results = &mut self.results;
        self.open.retain(|seq, probe| {
            let peer = probe.peer;
            if !probe.indirect && now >= probe.sent + DIRECT {
                probe.indirect = true;
                results.push_back((now, false));
                events.push(ProbeEvent::AskOthers { seq: *seq, peer });
            } else if now >= probe.sent + DIRECT + INDIRECT {
                events.push(ProbeEvent::Silent { peer });
                return false;
            }
            true
        });
        self.relays.retain(|_, r| now < r.sent + RELAY);
        while self.results.front().is_some_and(|(at, _)| *at + RESULTS < now) {
            self.results.pop_front();
        }
        events
    }

    /// Number of pings within the time and of those that were answered directly.
    pub fn results(&self, now: Uptime, within: Duration) -> (usize, usize) {
        let recent = self.results.iter().filter(|(at, _)| *at + within >= now);
        recent.fold((0, 0), |(all, ok), (_, answered)| (all + 1, ok + usize::from(*answered)))
    }
}
