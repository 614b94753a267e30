use std::time::Duration;

use kernel::{Incarnation, Uptime, VmEntry, VmState};

use crate::{Membership, PERIOD, PINGS, Status};

impl Membership {
    /// The VMs taken for alive, suspects and this VM included, those that leave excluded.
    pub fn live(&self) -> impl Iterator<Item = &VmEntry> {
        let own = (self.own.state == VmState::Live).then_some(&self.own);
        own.into_iter().chain(self.members.values().filter(|m| m.is_live()).map(|m| &m.entry))
    }

    /// The entry of an incarnation, this VM's own included; also of one that has left and may
    /// still answer for the keys that it issued.
    pub fn find(&self, incarnation: Incarnation) -> Option<&VmEntry> {
        if incarnation == self.own.incarnation {
            return Some(&self.own);
        }
        self.members.get(&incarnation).filter(|m| m.status != Status::Dead).map(|m| &m.entry)
    }

    /// Time since the start of an incarnation. Messages take time, so that it is rather too short.
    pub fn uptime_of(&self, now: Uptime, incarnation: Incarnation) -> Option<Uptime> {
        if incarnation == self.own.incarnation {
            return Some(now);
        }
        let started = self.members.get(&incarnation)?.started?;
        Duration::try_from_secs_f64(now.as_secs_f64() - started).ok()
    }

    /// What is known of an incarnation; none if it is unknown.
    pub fn status(&self, incarnation: Incarnation) -> Option<Status> {
        let buried = self.buried.get(&incarnation).map(|b| b.status);
        self.members.get(&incarnation).map(|m| m.status).or(buried)
    }

    /// Number of VMs heard directly within the time, and of those known; this VM is in both.
    ///
    /// VMs taken for dead stay known, so that the smaller side of a partition does not count
    /// itself as the whole fleet. In a fleet too large to ping half of it within the time, the
    /// number heard is estimated from the part of the pings that were answered.
    pub fn heard_within(&self, now: Uptime, within: Duration) -> (usize, usize) {
        let counted = self.members.values().filter(|m| m.status != Status::Left);
        let known = counted.count() + 1;
        let recent = |at: Uptime| at + within >= now;
        let live = self.members.values().filter(|m| m.is_live());
        let heard = live.filter(|m| m.heard.is_some_and(recent)).count() + 1;
        let reach = (within.as_secs_f64() / PERIOD.as_secs_f64()) as usize * PINGS;
        if reach >= known {
            return (heard, known);
        }
        let live = self.members.values().filter(|m| m.is_live()).count();
        let (pings, answered) = self.probes.results(now, within);
        let estimate = (live * answered).checked_div(pings).unwrap_or(0);
        (heard.max(estimate + 1), known)
    }
}
