use kernel::{Incarnation, Uptime, VmState};

use crate::member::Burial;
use crate::{Membership, MembershipMessage, MessageKind, Status, Update, UpdateEntry};

/// Most updates of a message.
const MOST_UPDATES: usize = 8;
/// Most bytes of the updates of a message. With 120 bytes of frame, four messages a round and one
/// for a dead VM each second this bounds the fleet's traffic to about 13 KB/s a VM.
const MOST_BYTES: usize = 480;

impl Membership {
    /// A message to `to` with as many updates as fit. `introduce` adds this VM's own entry.
    pub(crate) fn message(
        &mut self,
        now: Uptime,
        to: Incarnation,
        kind: MessageKind,
        seq: u64,
        introduce: bool,
    ) -> Box<MembershipMessage> {
        let mut about: Vec<Incarnation> = Vec::new();
        // A VM that is not taken for alive must hear it, to refute.
        let doubted = self.members.get(&to).is_some_and(|m| m.status != Status::Alive);
        if doubted || self.buried.contains_key(&to) {
            about.push(to);
        }
        if introduce {
            about.push(self.own.incarnation);
        }
        // Indirect pings add messages when many VMs die; they carry no updates, to bound the bytes.
        let indirect = matches!(kind, MessageKind::Request { .. } | MessageKind::Relayed { .. });
        for incarnation in self.gossip.first(if indirect { 0 } else { MOST_UPDATES }) {
            if !about.contains(&incarnation) {
                about.push(incarnation);
            }
        }
        // Gossip does not reach all for certain, and a VM that joins misses what went round before.
        // Who is wrong hears this, and who says something wrong here is corrected.
        if matches!(kind, MessageKind::Ping { .. }) && !self.recent.is_empty() {
            self.turn = (self.turn + 1) % self.recent.len();
            let recent = self.recent[self.turn];
            if !about.contains(&recent) {
                about.push(recent);
            }
        }
        let (mut updates, mut bytes) = (Vec::new(), 0);
        for incarnation in about {
            let Some(update) = self.statement(now, incarnation) else {
                self.gossip.forget(incarnation);
                continue;
            };
            bytes += update.size();
            if !updates.is_empty() && (bytes > MOST_BYTES || updates.len() >= MOST_UPDATES) {
                break;
            }
            self.gossip.carried(incarnation);
            updates.push(update);
        }
        Box::new(MembershipMessage {
            kind,
            seq,
            address: self.own.peers,
            unknown: !self.members.contains_key(&to),
            version: self.version,
            freshness: now.saturating_sub(self.confirmed),
            up_ms: now.as_millis() as u64,
            updates,
        })
    }

    /// What this VM has to say of another or of itself.
    fn statement(&self, now: Uptime, incarnation: Incarnation) -> Option<Update> {
        let own = self.own.incarnation == incarnation;
        if own {
            let leaving = self.own.state == VmState::Leaving;
            let status = if leaving { Status::Left } else { Status::Alive };
            let about = UpdateEntry { entry: self.own.clone(), up_ms: now.as_millis() as u64 };
            let generation = self.generation;
            return Some(Update { incarnation, generation, status, age_ms: 0, about: Some(about) });
        }
        if let Some(Burial { generation, status, .. }) = self.buried.get(&incarnation).copied() {
            return Some(Update { incarnation, generation, status, age_ms: 0, about: None });
        }
        let member = self.members.get(&incarnation)?;
        let age = now.saturating_sub(member.since).as_millis();
        let about = match (member.status, member.started) {
            (Status::Alive, Some(started)) => {
                let up = (now.as_secs_f64() - started).max(0.0);
                Some(UpdateEntry { entry: member.entry.clone(), up_ms: (up * 1e3) as u64 })
            }
            // Only the list has named it: that is nothing to pass on.
            (Status::Alive, None) => return None,
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
