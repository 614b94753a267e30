use kernel::{Incarnation, Uptime, VmState};

use crate::member::Tombstone;
use crate::{MemberStatus, Membership, MembershipMessage, MessageKind, Update, VmDescription};

/// Maximum number of updates in a message.
const MAX_UPDATES: usize = 8;
/// Maximum size of all updates in a message. With 120 bytes of framing, four messages per protocol
/// period and one per second to a dead VM, this limits the traffic to about 13 KB/s per VM.
const MAX_UPDATES_BYTES: usize = 480;

impl Membership {
    /// Builds a message to `to` with as many updates as fit. `introduce` adds this VM's own entry.
    pub(crate) fn message(
        &mut self,
        now: Uptime,
        to: Incarnation,
        kind: MessageKind,
        seq: u64,
        introduce: bool,
    ) -> Box<MembershipMessage> {
        let mut incarnations: Vec<Incarnation> = Vec::new();
        // A VM that does not count as alive here must learn it, so that it can refute.
        let not_alive = self.members.get(&to).is_some_and(|m| m.status != MemberStatus::Alive);
        if not_alive || self.tombstones.contains_key(&to) {
            incarnations.push(to);
        }
        if introduce {
            incarnations.push(self.own.incarnation);
        }
        // Indirect pings add messages when many VMs die. They carry no updates, to limit the traffic.
        let indirect = matches!(kind, MessageKind::Request { .. } | MessageKind::Relayed { .. });
        for incarnation in self.gossip.next_updates(if indirect { 0 } else { MAX_UPDATES }) {
            if !incarnations.contains(&incarnation) {
                incarnations.push(incarnation);
            }
        }
        // Gossip may miss some VMs, and a VM that joins has missed earlier updates. Each ping
        // repeats one recent change in turn: the receiver learns it, or replies with a newer one.
        if matches!(kind, MessageKind::Ping { .. }) && !self.recent.is_empty() {
            self.recent_index = (self.recent_index + 1) % self.recent.len();
            let recent = self.recent[self.recent_index];
            if !incarnations.contains(&recent) {
                incarnations.push(recent);
            }
        }
        let (mut updates, mut bytes) = (Vec::new(), 0);
        for incarnation in incarnations {
            let Some(update) = self.update_about(now, incarnation) else {
                self.gossip.remove(incarnation);
                continue;
            };
            bytes += update.max_bytes();
            if !updates.is_empty() && (bytes > MAX_UPDATES_BYTES || updates.len() >= MAX_UPDATES) {
                break;
            }
            self.gossip.record_sent(incarnation);
            updates.push(update);
        }
        Box::new(MembershipMessage {
            kind,
            seq,
            address: self.own.peers,
            unknown: !self.members.contains_key(&to),
            version: self.version,
            freshness: self.confirmed_at.map(|at| now.saturating_sub(at)),
            up_ms: now.as_millis() as u64,
            updates,
        })
    }

    /// The current update about another VM or this one; none if nothing is known first-hand or by
    /// gossip.
    fn update_about(&self, now: Uptime, incarnation: Incarnation) -> Option<Update> {
        let own = self.own.incarnation == incarnation;
        if own {
            let leaving = self.own.state == VmState::Leaving;
            let status = if leaving { MemberStatus::Left } else { MemberStatus::Alive };
            let about = VmDescription { entry: self.own.clone(), up_ms: now.as_millis() as u64 };
            let generation = self.generation;
            return Some(Update { incarnation, generation, status, age_ms: 0, about: Some(about) });
        }
        if let Some(Tombstone { generation, status, .. }) =
            self.tombstones.get(&incarnation).copied()
        {
            return Some(Update { incarnation, generation, status, age_ms: 0, about: None });
        }
        let member = self.members.get(&incarnation)?;
        let age = now.saturating_sub(member.status_since).as_millis();
        let about = match (member.status, member.started_s) {
            (MemberStatus::Alive, Some(started_s)) => {
                let up = (now.as_secs_f64() - started_s).max(0.0);
                Some(VmDescription { entry: member.entry.clone(), up_ms: (up * 1e3) as u64 })
            }
            // Known from the platform's list only, which the other VMs read themselves.
            (MemberStatus::Alive, None) => return None,
            _ => None,
        };
        Some(Update {
            incarnation,
            generation: member.generation,
            status: member.status,
            age_ms: age.try_into().unwrap_or(u32::MAX),
            about,
        })
    }
}
