use std::time::Duration;

use kernel::{Incarnation, Uptime, VmEntry, VmState};

use crate::{MemberStatus, Membership, PINGS_PER_PERIOD, PROTOCOL_PERIOD};

impl Membership {
    /// The live VMs, including suspects and this VM, without those that are leaving.
    pub fn live(&self) -> impl Iterator<Item = &VmEntry> {
        let own = (self.own.state == VmState::Live).then_some(&self.own);
        own.into_iter().chain(self.members.values().filter(|m| m.is_live()).map(|m| &m.entry))
    }

    /// The entry of an incarnation, which may be this VM's own, or one that has left and may still
    /// serve the idempotency keys that it issued.
    pub fn find(&self, incarnation: Incarnation) -> Option<&VmEntry> {
        if incarnation == self.own.incarnation {
            return Some(&self.own);
        }
        self.members.get(&incarnation).filter(|m| m.status != MemberStatus::Dead).map(|m| &m.entry)
    }

    /// Time since the start of an incarnation. Underestimated by the network delay.
    pub fn uptime_of(&self, now: Uptime, incarnation: Incarnation) -> Option<Uptime> {
        if incarnation == self.own.incarnation {
            return Some(now);
        }
        let started_s = self.members.get(&incarnation)?.started_s?;
        Duration::try_from_secs_f64(now.as_secs_f64() - started_s).ok()
    }

    /// Status of an incarnation; none if it is unknown.
    pub fn status(&self, incarnation: Incarnation) -> Option<MemberStatus> {
        let tombstone = self.tombstones.get(&incarnation).map(|t| t.status);
        self.members.get(&incarnation).map(|m| m.status).or(tombstone)
    }

    /// Number of VMs heard directly within the time, and number of known VMs; both include this VM.
    ///
    /// Dead VMs stay known, so that the smaller side of a partition does not count itself as the
    /// whole fleet. In a fleet too large to ping within the time, the number heard is estimated
    /// from the fraction of pings with an ack.
    pub fn heard_within(&self, now: Uptime, within: Duration) -> (usize, usize) {
        let counted = self.members.values().filter(|m| m.status != MemberStatus::Left);
        let known = counted.count() + 1;
        let recent = |at: Uptime| at + within >= now;
        let live = self.members.values().filter(|m| m.is_live());
        let heard = live.filter(|m| m.last_heard.is_some_and(recent)).count() + 1;
        let max_pings =
            (within.as_secs_f64() / PROTOCOL_PERIOD.as_secs_f64()) as usize * PINGS_PER_PERIOD;
        if max_pings >= known {
            return (heard, known);
        }
        let live = self.members.values().filter(|m| m.is_live()).count();
        let (pings, acks) = self.probes.count_results(now, within);
        let estimate = (live * acks).checked_div(pings).unwrap_or(0);
        (heard.max(estimate + 1), known)
    }
}
