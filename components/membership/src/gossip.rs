use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use kernel::Incarnation;

/// VMs whose status has changed lately, by the number of messages still to carry it.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    order: BTreeSet<(Reverse<u32>, Incarnation)>,
    left: HashMap<Incarnation, u32>,
}

impl Gossip {
    /// Has the status of a VM carried by `times` messages from now on.
    pub fn queue(&mut self, incarnation: Incarnation, times: u32) {
        self.forget(incarnation);
        if times > 0 {
            self.left.insert(incarnation, times);
            self.order.insert((Reverse(times), incarnation));
        }
    }

    /// Has it carried by at least one message.
    pub fn remind(&mut self, incarnation: Incarnation) {
        if !self.left.contains_key(&incarnation) {
            self.queue(incarnation, 1);
        }
    }

    pub fn forget(&mut self, incarnation: Incarnation) {
        if let Some(times) = self.left.remove(&incarnation) {
            self.order.remove(&(Reverse(times), incarnation));
        }
    }

    /// The VMs whose status has been carried least, in order.
    pub fn first(&self, count: usize) -> Vec<Incarnation> {
        self.order.iter().take(count).map(|(_, incarnation)| *incarnation).collect()
    }

    /// Counts one message that carried the status of a VM.
    pub fn carried(&mut self, incarnation: Incarnation) {
        if let Some(times) = self.left.get(&incarnation).copied() {
            self.queue(incarnation, times - 1);
        }
    }
}
