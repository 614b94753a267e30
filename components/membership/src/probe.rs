use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use kernel::{Incarnation, Uptime};

use crate::PeerAddress;

/// Timeout of a direct ping: longer than the round trip between regions.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Additional timeout of the indirect pings: four times the latency between regions, plus a margin.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which an indirect ping on behalf of another VM waits for its ack.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of pending pings on behalf of other VMs.
const MAX_RELAYS: usize = 64;
/// Time for which the results of pings are kept.
const RESULT_RETENTION: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Probe {
    peer: PeerAddress,
    sent_at: Uptime,
    /// Whether the direct timeout has passed and others were asked to ping.
    indirect: bool,
}

#[derive(Debug)]
struct Relay {
    requester: PeerAddress,
    seq: u64,
    peer: Incarnation,
    sent_at: Uptime,
}

/// Timeout of a ping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ProbeEvent {
    /// No direct ack; others should ping.
    DirectTimeout { seq: u64, peer: PeerAddress },
    /// No ack, direct or indirect.
    Failed { peer: PeerAddress },
}

/// Pings that wait for an ack, and recent results.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
    /// For each finished ping its time and whether it got a direct ack.
    results: VecDeque<(Uptime, bool)>,
    seq: u64,
}

impl Probes {
    pub fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    pub fn start_ping(&mut self, now: Uptime, peer: PeerAddress) -> u64 {
        let seq = self.next_seq();
        self.pending.insert(seq, Probe { peer, sent_at: now, indirect: false });
        seq
    }

    /// Registers a ping on behalf of another VM; returns none at the limit.
    pub fn start_relay(
        &mut self,
        now: Uptime,
        requester: PeerAddress,
        seq: u64,
        peer: Incarnation,
    ) -> Option<u64> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let relay_seq = self.next_seq();
        self.relays.insert(relay_seq, Relay { requester, seq, peer, sent_at: now });
        Some(relay_seq)
    }

    /// Records an ack. Returns the requester and its sequence number if the ping was on behalf of
    /// another VM.
    pub fn record_ack(
        &mut self,
        now: Uptime,
        from: Incarnation,
        seq: u64,
    ) -> Option<(PeerAddress, u64)> {
        if self.pending.get(&seq).is_some_and(|p| p.peer.incarnation == from) {
            self.pending.remove(&seq);
            self.results.push_back((now, true));
        }
        let relay = self.relays.get(&seq).filter(|r| r.peer == from)?;
        let requester = (relay.requester, relay.seq);
        self.relays.remove(&seq);
        Some(requester)
    }

    /// Records an ack that was relayed by another VM.
    pub fn record_relayed(&mut self, incarnation: Incarnation, seq: u64) {
        if self.pending.get(&seq).is_some_and(|p| p.peer.incarnation == incarnation) {
            self.pending.remove(&seq);
        }
    }

    /// Drops all pending pings, after a pause of this process in which acks were not read.
    pub fn reset(&mut self) {
        self.pending.clear();
    }

    pub fn check_timeouts(&mut self, now: Uptime) -> Vec<ProbeEvent> {
        let mut events = Vec::new();
        let results = &mut self.results;
        self.pending.retain(|seq, probe| {
            let peer = probe.peer;
            if !probe.indirect && now >= probe.sent_at + DIRECT_TIMEOUT {
                probe.indirect = true;
                results.push_back((now, false));
                events.push(ProbeEvent::DirectTimeout { seq: *seq, peer });
            } else if now >= probe.sent_at + DIRECT_TIMEOUT + INDIRECT_TIMEOUT {
                events.push(ProbeEvent::Failed { peer });
                return false;
            }
            true
        });
        self.relays.retain(|_, r| now < r.sent_at + RELAY_TIMEOUT);
        while self.results.front().is_some_and(|(at, _)| *at + RESULT_RETENTION < now) {
            self.results.pop_front();
        }
        events
    }

    /// Numbers of pings and of direct acks within the time.
    pub fn count_results(&self, now: Uptime, within: Duration) -> (usize, usize) {
        let recent = self.results.iter().filter(|(at, _)| *at + within >= now);
        recent.fold((0, 0), |(pings, acks), (_, acked)| (pings + 1, acks + usize::from(*acked)))
    }
}
