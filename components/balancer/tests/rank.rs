//! Ranking of VMs and regions by rendezvous hashing.

use balancer::{rank_arbiters, rank_homes, rank_regions};
use kernel::{Place, VmEntry, VmState};
use quickcheck::{Arbitrary, Gen};
use sha2::{Digest, Sha256};

fn fuzz_option(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn arbitrary_vms(g: &mut Gen) -> Vec<VmEntry> {
    let count = usize::arbitrary(g) % 50;
    (0..count)
        .map(|i| {
            let region = *g.choose(&["norrland", "gotaland", "dakar"]).expect("not empty");
            VmEntry {
                vm: format!("vm{}", i / 2).into(),
                // Incarnations are unique. Arbitrary numbers alone would repeat 0 often.
                incarnation: (u64::arbitrary(g) << 8) | i as u64,
                place: Place { region: region.into(), domain: "d".into() },
                callers: ([127, 0, 0, 1], 1).into(),
                peers: ([127, 0, 0, 1], 2).into(),
                state: if u8::arbitrary(g) % 5 == 0 { VmState::Leaving } else { VmState::Live },
            }
        })
        .collect()
}

/// Reference implementation: hashes the length-prefixed names of each entry and sorts by hash.
fn reference_ranking(service: &str, region: &str, vms: &[VmEntry]) -> Vec<u64> {
    let mut keyed = Vec::new();
    for vm in vms {
        if &*vm.place.region != region || vm.state != VmState::Live {
            continue;
        }
        let mut bytes = Vec::new();
        for text in [service, &vm.vm] {
            bytes.extend((text.len() as u64).to_le_bytes());
            bytes.extend(text.as_bytes());
        }
        bytes.extend(vm.incarnation.to_le_bytes());
        let digest = Sha256::digest(&bytes);
        keyed.push((digest[..8].to_vec(), vm.incarnation));
    }
    keyed.sort();
    keyed.reverse();
    keyed.into_iter().map(|(_, incarnation)| incarnation).collect()
}

/// Guards against VMs with the same view choosing different homes, for instance because of the
/// order of the entries.
#[test]
fn homes_match_the_reference_ranking() {
    let cases = fuzz_option("PAPAYAREEL_FUZZ_CASES", 200);
    let mut g = Gen::from_size_and_seed(100, fuzz_option("PAPAYAREEL_FUZZ_SEED", 1));
    for _ in 0..cases {
        let mut vms = arbitrary_vms(&mut g);
        let expected = reference_ranking("manus", "norrland", &vms);
        assert_eq!(rank_homes("manus", "norrland", &vms), expected);
        vms.reverse();
        assert_eq!(rank_homes("manus", "norrland", &vms), expected);
    }
}

/// Guards against the loss of a VM moving services of which it was not the home.
#[test]
fn loss_of_a_vm_keeps_the_order_of_the_others() {
    let mut g = Gen::from_size_and_seed(100, 2);
    for _ in 0..100 {
        let mut vms = arbitrary_vms(&mut g);
        let mut before = rank_homes("sandning", "gotaland", &vms);
        if let Some(lost) = vms.pop() {
            before.retain(|incarnation| *incarnation != lost.incarnation);
        }
        assert_eq!(rank_homes("sandning", "gotaland", &vms), before);
    }
}

/// Guards against an arbiter that is not the home of the service in its region.
#[test]
fn arbiter_is_a_home() {
    let mut g = Gen::from_size_and_seed(100, 3);
    for _ in 0..100 {
        let vms = arbitrary_vms(&mut g);
        let Some(arbiter) = rank_arbiters("rattelse", &vms).first().copied() else { continue };
        let regions = rank_regions("rattelse", "dakar", &vms);
        let homes: Vec<_> =
            regions.iter().map(|region| rank_homes("rattelse", region, &vms)[0]).collect();
        assert!(homes.contains(&arbiter));
    }
}
