use std::time::Duration;

use kernel::{Incarnation, Uptime, VmEntry, VmState};

use crate::member::{Burial, Member};
use crate::{Membership, MembershipAction, Status, Update};

impl Membership {
    /// Takes one statement about a VM. Returns whether it is wrong about this VM, so that the
    /// sender needs to hear the truth.
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
            self.change(now, update, actions);
        } else {
            self.meet(now, update, actions);
        }
        false
    }

    /// Contradicts what others say of this VM; returns whether they are wrong.
    fn refute(&mut self, update: &Update) -> bool {
        let leaving = self.own.state == VmState::Leaving;
        let own = if leaving { Status::Left } else { Status::Alive };
        if (update.generation, update.status) > (self.generation, own) {
            self.generation = update.generation + 1;
            self.gossip.queue(self.own.incarnation, self.transmissions());
        }
        update.status != own
    }

    /// Takes a statement about a VM that is not known.
    fn meet(&mut self, now: Uptime, update: Update, actions: &mut Vec<MembershipAction>) {
        let Some(about) = update.about.filter(|_| update.status == Status::Alive) else {
            if update.status >= Status::Dead {
                self.bury_unseen(now, update.incarnation, update.generation, update.status);
            }
            return;
        };
        // A VM that was buried unseen comes back by a refutation, which has a higher generation.
        let buried = self.buried.get(&update.incarnation);
        if buried.is_some_and(|b| update.generation <= b.generation) {
            return;
        }
        let started = now.as_secs_f64() - Duration::from_millis(about.up_ms).as_secs_f64();
        if about.entry.vm == self.own.vm {
            return;
        }
        if let Some(other) = self.names.get(&about.entry.vm).copied() {
            if self.is_older(Some(started), other) {
                self.bury_unseen(now, update.incarnation, update.generation, Status::Left);
                return;
            }
            self.replace(now, other, actions);
        }
        self.buried.remove(&update.incarnation);
        self.add(now, about.entry, update.generation, Some(started), actions);
        self.gossip.queue(update.incarnation, self.transmissions());
    }

    /// Whether a process that started then is older than `other` of the same VM. The times are
    /// estimates; a process that is taken for dead gives way to any that lives.
    fn is_older(&self, started: Option<f64>, other: Incarnation) -> bool {
        let other = self.members.get(&other).filter(|m| m.is_live());
        other.is_some_and(|m| m.started.is_some() && started <= m.started)
    }

    fn bury_unseen(&mut self, now: Uptime, who: Incarnation, generation: u32, status: Status) {
        let new = Burial { at: now, generation, status };
        let buried = self.buried.entry(who).or_insert(new);
        if (generation, status) > (buried.generation, buried.status) {
            *buried = new;
        }
        buried.at = now;
    }

    /// Takes a statement about a VM that is known.
    fn change(&mut self, now: Uptime, update: Update, actions: &mut Vec<MembershipAction>) {
        let incarnation = update.incarnation;
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        if let Some(about) = &update.about {
            let up = Duration::from_millis(about.up_ms).as_secs_f64();
            // Delays make the start seem later than it was.
            let started = now.as_secs_f64() - up;
            member.started = Some(member.started.map_or(started, |s| s.min(started)));
        }
        let known = (member.generation, member.status);
        let said = (update.generation, update.status);
        if said < known {
            // The sender lags behind; this VM's answer tells more.
            self.gossip.remind(incarnation);
            return;
        }
        let since = now.saturating_sub(Duration::from_millis(update.age_ms.into()));
        if said == known {
            member.since = member.since.min(since);
            return;
        }
        member.generation = update.generation;
        member.changed = now;
        match update.status {
            Status::Alive => self.revive(now, incarnation, actions),
            Status::Suspect => {
                member.status = Status::Suspect;
                member.since = since;
                member.checked = false;
                if known.1 == Status::Alive {
                    actions.push(MembershipAction::Suspected { incarnation });
                }
            }
            Status::Dead => self.mark_dead(now, incarnation, actions),
            Status::Left => self.mark_left(now, incarnation, actions),
        }
        self.gossip.queue(incarnation, self.transmissions());
    }

    /// Takes the word of a VM itself that it lives.
    fn revive(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.members.get(&incarnation) else {
            return;
        };
        let holder = self.names.get(&member.entry.vm).copied();
        if let Some(other) = holder.filter(|o| *o != incarnation) {
            if self.is_older(member.started, other) {
                return;
            }
            self.replace(now, other, actions);
        }
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        match member.status {
            Status::Alive => {}
            Status::Suspect => actions.push(MembershipAction::Recovered { incarnation }),
            Status::Dead | Status::Left => {
                actions.push(MembershipAction::Joined { entry: member.entry.clone() });
            }
        }
        member.status = Status::Alive;
        member.since = now;
        self.names.insert(member.entry.vm.clone(), incarnation);
    }

    /// Adds a VM that is taken for alive.
    pub(crate) fn add(
        &mut self,
        now: Uptime,
        entry: VmEntry,
        generation: u32,
        started: Option<f64>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let incarnation = entry.incarnation;
        self.names.insert(entry.vm.clone(), incarnation);
        actions.push(MembershipAction::Joined { entry: entry.clone() });
        let status = Status::Alive;
        let member = Member {
            entry,
            generation,
            status,
            since: now,
            changed: now,
            started,
            checked: false,
            heard: None,
        };
        self.members.insert(incarnation, member);
    }

    pub(crate) fn suspect(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        let times = self.transmissions();
        if let Some(member) = self.members.get_mut(&incarnation)
            && member.status == Status::Alive
        {
            member.set_status(now, Status::Suspect);
            // The ping that found it was one.
            member.checked = true;
            self.gossip.queue(incarnation, times);
            actions.push(MembershipAction::Suspected { incarnation });
        }
    }

    pub(crate) fn mark_dead(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        let times = self.transmissions();
        if let Some(member) = self.members.get_mut(&incarnation)
            && member.is_live()
        {
            member.set_status(now, Status::Dead);
            self.gossip.queue(incarnation, times);
            actions.push(MembershipAction::Died { incarnation });
        }
    }

    pub(crate) fn mark_left(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        let times = self.transmissions();
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        let was = member.status;
        member.status = Status::Left;
        member.entry.state = VmState::Leaving;
        if was < Status::Left {
            (member.since, member.changed) = (now, now);
            self.gossip.queue(incarnation, times);
            if self.names.get(&member.entry.vm) == Some(&incarnation) {
                self.names.remove(&member.entry.vm);
            }
        }
        if was < Status::Dead {
            actions.push(MembershipAction::Left { incarnation });
        }
    }

    /// Retires the incarnation of a VM that has a newer one.
    fn replace(
        &mut self,
        now: Uptime,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.mark_dead(now, incarnation, actions);
        self.mark_left(now, incarnation, actions);
    }
}
