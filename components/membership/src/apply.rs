use std::time::Duration;

use kernel::{Incarnation, Uptime, VmEntry, VmState};

use crate::member::{Member, Tombstone};
use crate::{MemberStatus, Membership, MembershipAction, Update};

impl Membership {
    /// Applies an update about a VM. Returns whether it states a wrong status for this VM, in which
    /// case the sender needs this VM's own update.
    pub(crate) fn apply(
        &mut self,
        now: Uptime,
        update: Update,
        actions: &mut Vec<MembershipAction>,
    ) -> bool {
        if update.incarnation == self.own.incarnation {
            return self.refute(&update);
        }
        if self.members.contains_key(&update.incarnation) {
            self.apply_to_known(now, update, actions);
        } else {
            self.apply_to_unknown(now, update, actions);
        }
        false
    }

    /// Refutes an update about this VM by raising the generation above it. Returns whether the
    /// update states a wrong status.
    fn refute(&mut self, update: &Update) -> bool {
        let leaving = self.own.state == VmState::Leaving;
        let own = if leaving { MemberStatus::Left } else { MemberStatus::Alive };
        if (update.generation, update.status) > (self.generation, own) {
            self.generation = update.generation + 1;
            self.gossip.queue(self.own.incarnation, self.transmissions());
        }
        update.status != own
    }

    /// Applies an update about an incarnation that is not a member.
    fn apply_to_unknown(
        &mut self,
        now: Uptime,
        update: Update,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(about) = update.about.filter(|_| update.status == MemberStatus::Alive) else {
            if update.status >= MemberStatus::Dead {
                self.record_tombstone(now, update.incarnation, update.generation, update.status);
            }
            return;
        };
        // An incarnation with a tombstone joins only by a refutation, which has a higher generation.
        let tombstone = self.tombstones.get(&update.incarnation);
        if tombstone.is_some_and(|t| update.generation <= t.generation) {
            return;
        }
        let started_s = now.as_secs_f64() - Duration::from_millis(about.up_ms).as_secs_f64();
        if about.entry.vm == self.own.vm {
            return;
        }
        if let Some(other) = self.by_name.get(&about.entry.vm).copied() {
            if self.is_older_than(Some(started_s), other) {
                self.record_tombstone(
                    now,
                    update.incarnation,
                    update.generation,
                    MemberStatus::Left,
                );
                return;
            }
            self.retire(now, other, actions);
        }
        self.tombstones.remove(&update.incarnation);
        self.add(now, about.entry, update.generation, Some(started_s), actions);
        self.gossip.queue(update.incarnation, self.transmissions());
    }

    /// Whether a process started before `other`, a live process of the same VM. Start times are
    /// estimates. False if `other` counts as dead, so that any live process replaces it.
    fn is_older_than(&self, started_s: Option<f64>, other: Incarnation) -> bool {
        let other = self.members.get(&other).filter(|m| m.is_live());
        other.is_some_and(|m| m.started_s.is_some() && started_s <= m.started_s)
    }

    /// Records that an incarnation that is not a member is dead or has left.
    fn record_tombstone(
        &mut self,
        now: Uptime,
        who: Incarnation,
        generation: u32,
        status: MemberStatus,
    ) {
        let new = Tombstone { at: now, generation, status };
        let tombstone = self.tombstones.entry(who).or_insert(new);
        if (generation, status) > (tombstone.generation, tombstone.status) {
            *tombstone = new;
        }
        tombstone.at = now;
    }

    /// Applies an update about a member.
    fn apply_to_known(&mut self, now: Uptime, update: Update, actions: &mut Vec<MembershipAction>) {
        let incarnation = update.incarnation;
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        if let Some(about) = &update.about {
            let up = Duration::from_millis(about.up_ms).as_secs_f64();
            // Network delay makes the start look later than it was, so the earliest estimate is kept.
            let started_s = now.as_secs_f64() - up;
            member.started_s = Some(member.started_s.map_or(started_s, |s| s.min(started_s)));
        }
        let known = (member.generation, member.status);
        let received = (update.generation, update.status);
        if received < known {
            // The sender has an older status; queue the newer one, so that the reply carries it.
            self.gossip.ensure_queued(incarnation);
            return;
        }
        let status_since = now.saturating_sub(Duration::from_millis(update.age_ms.into()));
        if received == known {
            member.status_since = member.status_since.min(status_since);
            return;
        }
        member.generation = update.generation;
        member.updated_at = now;
        match update.status {
            MemberStatus::Alive => self.mark_alive(now, incarnation, actions),
            MemberStatus::Suspect => {
                member.status = MemberStatus::Suspect;
                member.status_since = status_since;
                member.pinged = false;
                if known.1 == MemberStatus::Alive {
                    actions.push(MembershipAction::Suspected { incarnation });
                }
            }
            MemberStatus::Dead => self.mark_dead(now, incarnation, actions),
            MemberStatus::Left => self.mark_left(now, incarnation, actions),
        }
        self.gossip.queue(incarnation, self.transmissions());
    }

    /// Marks a member as alive after its own update with a higher generation.
    fn mark_alive(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.members.get(&incarnation) else {
            return;
        };
        let holder = self.by_name.get(&member.entry.vm).copied();
        if let Some(other) = holder.filter(|o| *o != incarnation) {
            if self.is_older_than(member.started_s, other) {
                return;
            }
            self.retire(now, other, actions);
        }
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        match member.status {
            MemberStatus::Alive => {}
            MemberStatus::Suspect => actions.push(MembershipAction::Recovered { incarnation }),
            MemberStatus::Dead | MemberStatus::Left => {
                actions.push(MembershipAction::Joined { entry: member.entry.clone() });
            }
        }
        member.status = MemberStatus::Alive;
        member.status_since = now;
        self.by_name.insert(member.entry.vm.clone(), incarnation);
    }

    /// Adds a member with status `Alive`.
    pub(crate) fn add(
        &mut self,
        now: Uptime,
        entry: VmEntry,
        generation: u32,
        started_s: Option<f64>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let incarnation = entry.incarnation;
        self.by_name.insert(entry.vm.clone(), incarnation);
        actions.push(MembershipAction::Joined { entry: entry.clone() });
        let status = MemberStatus::Alive;
        let member = Member {
            entry,
            generation,
            status,
            status_since: now,
            updated_at: now,
            started_s,
            pinged: false,
            last_heard: None,
        };
        self.members.insert(incarnation, member);
    }

    pub(crate) fn suspect(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        let transmissions = self.transmissions();
        if let Some(member) = self.members.get_mut(&incarnation)
            && member.status == MemberStatus::Alive
        {
            member.set_status(now, MemberStatus::Suspect);
            // The ping that timed out counts as the ping of this suspect.
            member.pinged = true;
            self.gossip.queue(incarnation, transmissions);
            actions.push(MembershipAction::Suspected { incarnation });
        }
    }

    pub(crate) fn mark_dead(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        let transmissions = self.transmissions();
        if let Some(member) = self.members.get_mut(&incarnation)
            && member.is_live()
        {
            member.set_status(now, MemberStatus::Dead);
            self.gossip.queue(incarnation, transmissions);
            actions.push(MembershipAction::Died { incarnation });
        }
    }

    pub(crate) fn mark_left(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        let transmissions = self.transmissions();
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        let was = member.status;
        member.status = MemberStatus::Left;
        member.entry.state = VmState::Leaving;
        if was < MemberStatus::Left {
            (member.status_since, member.updated_at) = (now, now);
            self.gossip.queue(incarnation, transmissions);
            if self.by_name.get(&member.entry.vm) == Some(&incarnation) {
                self.by_name.remove(&member.entry.vm);
            }
        }
        if was < MemberStatus::Dead {
            actions.push(MembershipAction::Left { incarnation });
        }
    }

    /// Marks an incarnation as dead and left after a newer one of the same VM was found.
    fn retire(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.mark_dead(now, incarnation, actions);
        self.mark_left(now, incarnation, actions);
    }
}
