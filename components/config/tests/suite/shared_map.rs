//! Compares the shared map with the map of the standard library.

use std::collections::BTreeMap;

use config::{MapChange, SharedMap};
use quickcheck::{Arbitrary, Gen};

use crate::stateful::env_number;

/// Guards against entries that are lost, duplicated or out of order after chunks split, shrink or
/// merge, and against a change that is visible in an older clone.
#[test]
fn random_histories_agree_with_a_btree_map() {
    let cases = env_number("PAPAYAREEL_FUZZ_CASES", 40);
    let seed = env_number("PAPAYAREEL_FUZZ_SEED", 20_261_204);
    for case in 0..cases {
        println!("case {case}, seed {seed}");
        let mut g = Gen::from_size_and_seed(100, seed.wrapping_add(case));
        let (mut map, mut oracle) = (SharedMap::new(), BTreeMap::new());
        // Insertions by ascending, descending or random keys, then mostly removals.
        let order = u32::arbitrary(&mut g) % 3;
        for step in 0..3000_u32 {
            let random = u32::arbitrary(&mut g) % 1500;
            let key = match order {
                _ if step > 1500 => random,
                0 => step,
                1 => 1500 - step,
                _ => random,
            };
            let (old, before) = (map.clone(), oracle.len());
            match u32::arbitrary(&mut g) % 8 {
                0 => assert_eq!(map.remove(&key), oracle.remove(&key)),
                1..=5 if step > 1500 => assert_eq!(map.remove(&key), oracle.remove(&key)),
                6 => assert_eq!(map.get_mut(&key).map(|v| *v += 1), {
                    oracle.get_mut(&key).map(|v| *v += 1)
                }),
                _ => assert_eq!(map.insert(key, step), oracle.insert(key, step)),
            }
            assert_eq!((map.len(), old.len()), (oracle.len(), before));
            assert_eq!((map.get(&random), map.contains_key(&key)), {
                (oracle.get(&random), oracle.contains_key(&key))
            });
            if step % 100 == 0 {
                assert!(map.iter().eq(&oracle));
                assert!(map.iter_after(Some(&random)).eq(oracle.range(random + 1..)));
                assert!(map.iter_after(None::<&u32>).eq(&oracle));
            }
        }
        check_changes(&mut g, &map);
        let mut copy = map.clone();
        copy.retain(|key, _| key % 3 == 0);
        copy.get_mut(&0).into_iter().for_each(|value| *value = 9);
        assert!(map.iter().eq(&oracle), "a change of a clone is visible in the map");
        oracle.retain(|key, _| key % 3 == 0);
        oracle.get_mut(&0).into_iter().for_each(|value| *value = 9);
        assert!(copy.iter().eq(&oracle));
    }
}

/// Compares the changes between two maps that share most chunks with a comparison of every key.
fn check_changes(g: &mut Gen, old: &SharedMap<u32, u32>) {
    let mut new = old.clone();
    assert_eq!(new.changes_since(old).next(), None);
    for _ in 0..u32::arbitrary(g) % 40 {
        let key = u32::arbitrary(g) % 2000;
        match u32::arbitrary(g) % 3 {
            0 => drop(new.remove(&key)),
            _ => drop(new.insert(key, u32::arbitrary(g) % 4)),
        }
    }
    let keys: std::collections::BTreeSet<u32> = old.keys().chain(new.keys()).copied().collect();
    let changes = keys.iter().filter_map(|key| {
        let (old, new) = (old.get(key), new.get(key));
        (old != new).then_some(MapChange { key, old, new })
    });
    assert!(new.changes_since(old).eq(changes));
}
