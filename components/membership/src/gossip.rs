use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use kernel::Incarnation;

/// Queue of VMs whose status is to be disseminated, by the number of transmissions that remain.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    by_remaining: BTreeSet<(Reverse<u32>, Incarnation)>,
    remaining: HashMap<Incarnation, u32>,
}

impl Gossip {
    /// Sends the status of a VM with the next `transmissions` messages.
    pub fn queue(&mut self, incarnation: Incarnation, transmissions: u32) {
        self.remove(incarnation);
        if transmissions > 0 {
            self.remaining.insert(incarnation, transmissions);
            self.by_remaining.insert((Reverse(transmissions), incarnation));
        }
    }

    /// Sends the status of a VM with at least one message.
    pub fn ensure_queued(&mut self, incarnation: Incarnation) {
        if !self.remaining.contains_key(&incarnation) {
            self.queue(incarnation, 1);
        }
    }

    pub fn remove(&mut self, incarnation: Incarnation) {
        if let Some(transmissions) = self.remaining.remove(&incarnation) {
            self.by_remaining.remove(&(Reverse(transmissions), incarnation));
        }
    }

    /// The VMs with the most remaining transmissions, in order.
    pub fn next_updates(&self, count: usize) -> Vec<Incarnation> {
        self.by_remaining.iter().take(count).map(|(_, incarnation)| *incarnation).collect()
    }

    /// Counts one transmission of the status of a VM.
    pub fn record_sent(&mut self, incarnation: Incarnation) {
        if let Some(transmissions) = self.remaining.get(&incarnation).copied() {
            self.queue(incarnation, transmissions - 1);
        }
    }
}
