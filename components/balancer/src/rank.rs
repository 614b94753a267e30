use kernel::prelude::*;
use kernel::{VmEntry, VmState};
use sha2::{Digest, Sha256};

/// Returns the rendezvous hashing weight of a name for a service. The highest weight wins.
fn rendezvous_weight(service: &str, name: &str, incarnation: Incarnation) -> u64 {
    let mut hash = Sha256::new();
    // The length prefixes give ("ab", "c") and ("a", "bc") different hashes.
    hash.update((service.len() as u64).to_le_bytes());
    hash.update(service.as_bytes());
    hash.update((name.len() as u64).to_le_bytes());
    hash.update(name.as_bytes());
    hash.update(incarnation.to_le_bytes());
    let digest = hash.finalize();
    digest.iter().take(8).fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

fn rank<'a>(service: &str, vms: impl Iterator<Item = &'a VmEntry>) -> Vec<Incarnation> {
    let mut ranked: Vec<(u64, Incarnation)> = vms
        .filter(|vm| vm.state == VmState::Live)
        .map(|vm| (rendezvous_weight(service, &vm.vm, vm.incarnation), vm.incarnation))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, incarnation)| incarnation).collect()
}

/// Returns the live VMs of a region in the order in which they take over the service. The first is
/// its home.
///
/// VMs that are shutting down are excluded. The order depends only on the set of entries: VMs with
/// the same view agree, and the loss of a VM moves only the services of which it was the home.
pub fn rank_homes(service: &str, region: &str, vms: &[VmEntry]) -> Vec<Incarnation> {
    rank(service, vms.iter().filter(|vm| &*vm.place.region == region))
}

/// Returns the live VMs of all regions in the order in which they become arbiter of the service.
///
/// The first is also the home of the service in its region.
pub fn rank_arbiters(service: &str, vms: &[VmEntry]) -> Vec<Incarnation> {
    rank(service, vms.iter())
}

/// Returns the regions with a live VM in the order in which a home tries them: `own_region` first,
/// then the others by rendezvous weight, so that the overflow of services is spread evenly.
pub fn rank_regions(service: &str, own_region: &str, vms: &[VmEntry]) -> Vec<RegionId> {
    let mut regions: Vec<&str> =
        vms.iter().filter(|vm| vm.state == VmState::Live).map(|vm| &*vm.place.region).collect();
    regions.sort_unstable();
    regions.dedup();
    regions.sort_by_key(|region| {
        (*region != own_region, std::cmp::Reverse(rendezvous_weight(service, region, 0)))
    });
    regions.into_iter().map(Into::into).collect()
}
