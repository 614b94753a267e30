//! The configuration in the platform's table: races, lost replies, damaged snapshots.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::common::{organisation, set};
use crate::memory::{MemoryObjects, MemoryTable};
use config::{Change, ChangeError, CommitOutcome, ConfigStore, FleetConfig, StoreError};

struct Bench {
    table: Arc<MemoryTable>,
    objects: Arc<MemoryObjects>,
    store: ConfigStore,
}

fn bench() -> Bench {
    let (table, objects) = (Arc::new(MemoryTable::default()), Arc::new(MemoryObjects::default()));
    let store = ConfigStore::new(table.clone(), objects.clone());
    Bench { table, objects, store }
}

fn put(rate: f64) -> Vec<Change> {
    vec![Change::PutOrganisation { id: "sorano".into(), organisation: organisation(rate) }]
}

/// Commits versions 1 to `last` and writes the snapshots that become due.
async fn fill(bench: &Bench, last: u64) -> FleetConfig {
    let mut held = FleetConfig::default();
    for base in 0..last {
        let set = set(base, &format!("change-{base}"), put(base as f64));
        match bench.store.commit(&held, &set).await.unwrap() {
            CommitOutcome::Applied { config, snapshot_due, .. } => {
                if snapshot_due {
                    bench.store.write_snapshot(&config).await.unwrap();
                }
                held = config;
            }
            other => panic!("{other:?}"),
        }
    }
    held
}

/// Guards against two operators who both believe that their change on one base took effect.
#[tokio::test]
async fn one_of_two_racing_changes_wins() {
    let bench = bench();
    let held = fill(&bench, 1).await;
    let (left, right) = (set(1, "left", put(1.0)), set(1, "right", put(2.0)));
    let (left, right) =
        tokio::join!(bench.store.commit(&held, &left), bench.store.commit(&held, &right));
    let conflict = StoreError::Change(ChangeError::Conflict { base: 1, current: 2 });
    assert!(matches!(left, Ok(CommitOutcome::Applied { .. })), "{left:?}");
    assert_eq!(right, Err(conflict));
    assert_eq!(bench.store.head().await.unwrap().version, 2);
}

/// Guards against a change that takes effect twice or is reported as failed after a lost reply.
#[tokio::test]
async fn a_lost_reply_has_one_effect() {
    let bench = bench();
    let held = fill(&bench, 1).await;
    let set = set(1, "c", put(5.0));
    bench.table.lose_after.store(1, Ordering::Relaxed);
    let committed = bench.store.commit(&held, &set).await;
    assert_eq!(committed, Ok(CommitOutcome::AlreadyApplied { version: 2 }));
    assert_eq!(
        bench.store.commit(&held, &set).await,
        Ok(CommitOutcome::AlreadyApplied { version: 2 })
    );
    assert_eq!(bench.store.head().await.unwrap().version, 2);

    let other = crate::common::set(2, "c", put(6.0));
    let reused = StoreError::ChangeIdReused { change_id: "c".into(), version: 2 };
    assert_eq!(bench.store.commit(&held, &other).await, Err(reused));
}

/// Guards against an unknown outcome being reported as a failure that had no effect.
#[tokio::test]
async fn an_unknown_outcome_says_so() {
    let bench = bench();
    let held = fill(&bench, 1).await;
    let set = set(1, "c", put(5.0));
    bench.table.lose_before.store(1, Ordering::Relaxed);
    assert!(matches!(bench.store.commit(&held, &set).await, Ok(CommitOutcome::Applied { .. })));
    bench.table.lose_before.store(9, Ordering::Relaxed);
    let error = bench.store.commit(&held, &crate::common::set(2, "d", put(6.0))).await.unwrap_err();
    assert!(matches!(error, StoreError::UnknownOutcome { .. }), "{error:?}");
}

/// Guards against deltas or snapshots deleted too early or never.
#[tokio::test]
async fn snapshots_are_kept_to_three_and_cover_deleted_deltas() {
    let bench = bench();
    let newest = fill(&bench, 330).await;
    let names: Vec<_> = bench.objects.0.lock().unwrap().keys().cloned().collect();
    assert_eq!(
        names,
        [
            "config/snapshot-000000000192",
            "config/snapshot-000000000256",
            "config/snapshot-000000000320"
        ]
        .map(Box::from)
    );
    assert_eq!(bench.store.read_deltas(191).await.unwrap(), []);
    assert_eq!(bench.store.read_deltas(192).await.unwrap().len(), 138);
    for held in [FleetConfig::default(), FleetConfig { version: 100, ..Default::default() }] {
        assert_eq!(bench.store.load(&held).await.unwrap().config, newest);
    }
    // Once the row of its id is gone, an old change set must not take effect again.
    let old = set(3, "change-3", put(3.0));
    let conflict = StoreError::Change(ChangeError::Conflict { base: 3, current: 330 });
    assert_eq!(bench.store.commit(&newest, &old).await, Err(conflict));
}

/// Guards against a damaged snapshot that keeps a VM from starting, and against going back.
#[tokio::test]
async fn a_damaged_snapshot_falls_back_to_the_older_one() {
    let bench = bench();
    let newest = fill(&bench, 330).await;
    for name in ["config/snapshot-000000000320", "config/snapshot-000000000256"] {
        bench.objects.0.lock().unwrap().get_mut(name).unwrap().pop();
        let loaded = bench.store.load(&FleetConfig::default()).await.unwrap();
        assert_eq!(loaded.config, newest);
        assert!(loaded.skipped_snapshots.iter().any(|(skipped, _)| **skipped == *name));
    }
    bench.objects.0.lock().unwrap().clear();
    let gap = StoreError::MissingDeltas { local: 0, newest: 330 };
    assert_eq!(bench.store.load(&FleetConfig::default()).await.unwrap_err(), gap);
    let ahead = FleetConfig { version: 400, ..Default::default() };
    assert_eq!(bench.store.load(&ahead).await.unwrap().config, ahead);
}

/// Guards against deleting the deltas that a damaged snapshot does not replace.
#[tokio::test]
async fn nothing_is_deleted_on_the_word_of_a_damaged_snapshot() {
    let bench = bench();
    let newest = fill(&bench, 200).await;
    let objects = || bench.objects.0.lock().unwrap();
    objects().get_mut("config/snapshot-000000000128").unwrap().pop();
    let written = bench.store.write_snapshot(&newest).await;
    assert!(matches!(written, Err(StoreError::Snapshot(_))), "{written:?}");
    assert_eq!(objects().len(), 4);
    assert_eq!(bench.store.read_deltas(64).await.unwrap().len(), 136);
    // Once the damaged one is no longer the oldest to keep, it goes as well.
    let set = set(200, "next", put(1.0));
    let Ok(CommitOutcome::Applied { config, .. }) = bench.store.commit(&newest, &set).await else {
        panic!("the change was refused");
    };
    bench.store.write_snapshot(&config).await.unwrap();
    assert_eq!(objects().len(), 3);
}
