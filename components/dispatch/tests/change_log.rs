//! Changes that are sent to a VM that has an older version of a list.

use std::collections::BTreeMap;

use dispatch::ChangeLog;

fn keys(names: &[&str]) -> std::vec::IntoIter<Box<str>> {
    names.iter().map(|name| Box::from(*name)).collect::<Vec<Box<str>>>().into_iter()
}

#[test]
fn since_returns_only_later_changes() {
    let mut log = ChangeLog::default();
    log.record(10, keys(&["a", "b", "c"]));
    log.record(20, keys(&["b"]));
    log.record(30, keys(&["c", "d"]));
    assert_eq!(log.since(10), Some(vec!["b", "c", "d"]));
    assert_eq!(log.since(20), Some(vec!["c", "d"]));
    assert_eq!(log.since(30), Some(vec![]));
    assert_eq!(log.since(9), None, "changes before the first list are unknown");
    assert_eq!(ChangeLog::default().since(0), None);
}

#[test]
fn full_log_drops_its_older_half_and_requires_the_complete_list() {
    let mut log = ChangeLog::default();
    log.record(1, keys(&[]));
    for version in 2..6000 {
        log.record(version, keys(&[&format!("i-{version}")]));
    }
    assert_eq!(log.since(1), None);
    assert_eq!(log.since(5990).map(|keys| keys.len()), Some(9));
}

#[test]
fn changes_update_any_known_list_to_the_newest() {
    // The reference model keeps every version of the list.
    fn holds(steps: Vec<(u8, bool)>) -> bool {
        let mut log = ChangeLog::default();
        let mut list: BTreeMap<Box<str>, u64> = BTreeMap::new();
        log.record(1, keys(&[]));
        let mut all = vec![list.clone()];
        for (number, (key, keep)) in steps.into_iter().enumerate() {
            let (key, version): (Box<str>, u64) = ((key % 8).to_string().into(), number as u64 + 2);
            if keep {
                list.insert(key.clone(), version);
            } else {
                list.remove(&key);
            }
            log.record(version, std::iter::once(key));
            all.push(list.clone());
        }
        all.into_iter().enumerate().all(|(index, mut old)| {
            let Some(changed) = log.since(index as u64 + 1) else { return false };
            for key in changed {
                match list.get(key) {
                    Some(value) => old.insert(key.into(), *value),
                    None => old.remove(key),
                };
            }
            old == list
        })
    }
    fuzz::check(200, 60, holds as fn(Vec<(u8, bool)>) -> bool);
}
