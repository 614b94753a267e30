//! Tests of the progress of a rollout and of generated keys.

use operator::{RolloutProgress, SecretGenerator, StatusQuery};

use crate::fleet::status;

/// Guards against reporting a version as active everywhere while a live VM lacks it, and against a
/// leaving or silent VM that prevents a rollout from ever completing.
#[test]
fn rollout_is_complete_once_active_on_every_live_vm() {
    let mut status = status(&StatusQuery::default());
    status.vms[1].version = 1;
    let progress = RolloutProgress::new(&status, 7);
    assert_eq!((progress.ready, progress.is_complete()), (1, true));
    assert_eq!(progress.silent, ["vm-3".into()]);
    let progress = RolloutProgress::new(&status, 8);
    assert_eq!((progress.behind.clone(), progress.is_complete()), (vec!["vm-1".into()], false));
    status.vms.clear();
    assert!(!RolloutProgress::new(&status, 7).is_complete(), "no VM is known to have it");
}

/// Guards against repeated keys, and against keys that another process can reproduce.
#[test]
fn keys_differ_unless_the_seed_is_fixed() {
    let draw = |seed| SecretGenerator::new(seed).generate_key();
    assert_eq!(draw(Some(5)), draw(Some(5)));
    assert_ne!(draw(None), draw(None));
    let mut secrets = SecretGenerator::new(None);
    assert_ne!(secrets.generate_change_id(), secrets.generate_change_id());
    assert_eq!(draw(None).len(), 69);
}
