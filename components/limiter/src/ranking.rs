use std::cmp::Reverse;

use kernel::{Incarnation, Rate};

use crate::RATE_UNITS;

/// Maximum VMs that are ever asked for tokens of one organisation: twice the maximum number of
/// holders.
const MAX_RANKED: usize = 2 * RATE_UNITS as usize;

/// The VMs in the order in which they should hold units of one organisation's rate.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ranking {
    vms: Vec<Incarnation>,
    holders: u32,
}

/// Finalizer of splitmix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// FNV-1a.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3))
}

impl Ranking {
    /// Ranks the VMs by rendezvous hashing.
    ///
    /// There are at most as many holders as units, VMs or tokens in the burst, because the bucket
    /// of a smaller share could never contain a whole token.
    pub fn new(organisation: &str, rate: Rate, vms: &[Incarnation]) -> Self {
        let seed = hash(organisation);
        let mut ranked: Vec<(Reverse<u64>, Incarnation)> =
            vms.iter().map(|vm| (Reverse(mix(seed ^ mix(*vm))), *vm)).collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_RANKED);
        let max_holders = (rate.burst as u32).clamp(1, RATE_UNITS);
        let holders = max_holders.min(ranked.len() as u32);
        Ranking { vms: ranked.into_iter().map(|(_, vm)| vm).collect(), holders }
    }

    /// Number of VMs that should hold units.
    pub fn holders(&self) -> u32 {
        self.holders
    }

    /// The VMs in order; the holders come first.
    pub fn vms(&self) -> &[Incarnation] {
        &self.vms
    }

    /// Units that a VM should hold.
    pub fn quota(&self, vm: Incarnation) -> u32 {
        let holders = self.vms.iter().take(self.holders as usize);
        holders.into_iter().position(|v| *v == vm).map_or(0, |rank| {
            let remainder = RATE_UNITS % self.holders;
            RATE_UNITS / self.holders + u32::from((rank as u32) < remainder)
        })
    }
}
