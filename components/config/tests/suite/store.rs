//! The configuration in the platform's table: conflicts, lost responses, corrupt snapshots.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::common::{organisation, set};
use crate::memory::{MemoryObjects, MemoryTable};
use config::{Change, ChangeError, CommitOutcome, ConfigStore, ConfigStoreError, FleetConfig};

struct Fixture {
    table: Arc<MemoryTable>,
    objects: Arc<MemoryObjects>,
    store: ConfigStore,
}

fn fixture() -> Fixture {
    let (table, objects) = (Arc::new(MemoryTable::default()), Arc::new(MemoryObjects::default()));
    let store = ConfigStore::new(table.clone(), objects.clone());
    Fixture { table, objects, store }
}

fn put_rate(rate: f64) -> Vec<Change> {
    vec![Change::PutOrganisation { id: "sorano".into(), organisation: organisation(rate) }]
}

/// Commits versions 1 to `last` and writes the snapshots that become due.
async fn commit_versions(fixture: &Fixture, last: u64) -> FleetConfig {
    let mut local = FleetConfig::default();
    for base in 0..last {
        let set = set(base, &format!("change-{base}"), put_rate(base as f64));
        match fixture.store.commit(&local, &set).await.unwrap() {
            CommitOutcome::Applied { config, snapshot_due, .. } => {
                if snapshot_due {
                    fixture.store.write_snapshot(&config).await.unwrap();
                }
                local = config;
            }
            other => panic!("{other:?}"),
        }
    }
    local
}

/// Guards against two concurrent changes with the same base that are both reported as applied.
#[tokio::test]
async fn one_of_two_concurrent_changes_wins() {
    let fixture = fixture();
    let local = commit_versions(&fixture, 1).await;
    let (first, second) = (set(1, "left", put_rate(1.0)), set(1, "right", put_rate(2.0)));
    let (first, second) =
        tokio::join!(fixture.store.commit(&local, &first), fixture.store.commit(&local, &second));
    let conflict = ConfigStoreError::Change(ChangeError::Conflict { base: 1, current: 2 });
    assert!(matches!(first, Ok(CommitOutcome::Applied { .. })), "{first:?}");
    assert_eq!(second, Err(conflict));
    assert_eq!(fixture.store.head().await.unwrap().version, 2);
}

/// Guards against a change that is applied twice, or reported as failed, because the response to
/// its commit was lost.
#[tokio::test]
async fn change_is_applied_once_after_lost_response() {
    let fixture = fixture();
    let local = commit_versions(&fixture, 1).await;
    let set = set(1, "c", put_rate(5.0));
    fixture.table.lost_responses.store(1, Ordering::Relaxed);
    let committed = fixture.store.commit(&local, &set).await;
    assert_eq!(committed, Ok(CommitOutcome::AlreadyApplied { version: 2 }));
    assert_eq!(
        fixture.store.commit(&local, &set).await,
        Ok(CommitOutcome::AlreadyApplied { version: 2 })
    );
    assert_eq!(fixture.store.head().await.unwrap().version, 2);

    let other = crate::common::set(2, "c", put_rate(6.0));
    let reused = ConfigStoreError::ChangeIdReused { change_id: "c".into(), version: 2 };
    assert_eq!(fixture.store.commit(&local, &other).await, Err(reused));
}

/// Guards against reporting a commit without a response as if nothing had been written.
#[tokio::test]
async fn unknown_outcome_is_reported() {
    let fixture = fixture();
    let local = commit_versions(&fixture, 1).await;
    let set = set(1, "c", put_rate(5.0));
    fixture.table.lost_requests.store(1, Ordering::Relaxed);
    assert!(matches!(fixture.store.commit(&local, &set).await, Ok(CommitOutcome::Applied { .. })));
    fixture.table.lost_requests.store(9, Ordering::Relaxed);
    let error =
        fixture.store.commit(&local, &crate::common::set(2, "d", put_rate(6.0))).await.unwrap_err();
    assert!(matches!(error, ConfigStoreError::UnknownOutcome { .. }), "{error:?}");
}

/// Guards against deltas or snapshots that are deleted too early or never.
#[tokio::test]
async fn three_snapshots_are_kept_and_cover_deleted_deltas() {
    let fixture = fixture();
    let newest = commit_versions(&fixture, 330).await;
    let names: Vec<_> = fixture.objects.0.lock().unwrap().keys().cloned().collect();
    assert_eq!(
        names,
        [
            "config/snapshot-000000000192",
            "config/snapshot-000000000256",
            "config/snapshot-000000000320"
        ]
        .map(Box::from)
    );
    assert_eq!(fixture.store.read_deltas(191).await.unwrap(), []);
    assert_eq!(fixture.store.read_deltas(192).await.unwrap().len(), 138);
    for local in [FleetConfig::default(), FleetConfig { version: 100, ..Default::default() }] {
        assert_eq!(fixture.store.load(&local).await.unwrap().config, newest);
    }
    // An old change set must not be applied again after the row of its id was deleted.
    let old_set = set(3, "change-3", put_rate(3.0));
    let conflict = ConfigStoreError::Change(ChangeError::Conflict { base: 3, current: 330 });
    assert_eq!(fixture.store.commit(&newest, &old_set).await, Err(conflict));
}

/// Guards against a corrupt snapshot that keeps a VM from starting, and against replacing the local
/// configuration by an older one.
#[tokio::test]
async fn corrupt_snapshot_falls_back_to_older_one() {
    let fixture = fixture();
    let newest = commit_versions(&fixture, 330).await;
    for name in ["config/snapshot-000000000320", "config/snapshot-000000000256"] {
        fixture.objects.0.lock().unwrap().get_mut(name).unwrap().pop();
        let loaded = fixture.store.load(&FleetConfig::default()).await.unwrap();
        assert_eq!(loaded.config, newest);
        assert!(loaded.skipped_snapshots.iter().any(|(skipped, _)| **skipped == *name));
    }
    fixture.objects.0.lock().unwrap().clear();
    let missing_deltas = ConfigStoreError::MissingDeltas { local: 0, newest: 330 };
    assert_eq!(fixture.store.load(&FleetConfig::default()).await.unwrap_err(), missing_deltas);
    let ahead = FleetConfig { version: 400, ..Default::default() };
    assert_eq!(fixture.store.load(&ahead).await.unwrap().config, ahead);
}

/// Guards against deleting deltas that only a corrupt snapshot covers.
#[tokio::test]
async fn nothing_is_deleted_if_the_oldest_snapshot_is_corrupt() {
    let fixture = fixture();
    let newest = commit_versions(&fixture, 200).await;
    let objects = || fixture.objects.0.lock().unwrap();
    objects().get_mut("config/snapshot-000000000128").unwrap().pop();
    let written = fixture.store.write_snapshot(&newest).await;
    assert!(matches!(written, Err(ConfigStoreError::Snapshot(_))), "{written:?}");
    assert_eq!(objects().len(), 4);
    assert_eq!(fixture.store.read_deltas(64).await.unwrap().len(), 136);
    // The corrupt snapshot is deleted once it is no longer among those to keep.
    let set = set(200, "next", put_rate(1.0));
    let Ok(CommitOutcome::Applied { config, .. }) = fixture.store.commit(&newest, &set).await
    else {
        panic!("the change was not applied");
    };
    fixture.store.write_snapshot(&config).await.unwrap();
    assert_eq!(objects().len(), 3);
}
