//! Tests of the in-memory platform.

use std::time::Duration;

use kernel::{Place, PlatformError, Transaction, VmEntry, VmState};
use platform_client::MemoryPlatform;

fn write(key: &str, version: u64, value: &str) -> Transaction {
    Transaction {
        checks: vec![(key.into(), version)],
        puts: vec![(key.into(), value.into())],
        deletes: Vec::new(),
    }
}

/// Guards against a compare-and-swap that passes on a changed or re-created row.
#[tokio::test]
async fn commit_rejects_changed_and_recreated_rows() {
    let memory = MemoryPlatform::new();
    let table = memory.open().table;
    let first = table.commit(&write("a", 0, "1")).await.expect("new row");
    let second = table.commit(&write("a", first, "2")).await.expect("known version");
    let conflict = Err(PlatformError::Conflict { key: "a".into() });
    assert_eq!(table.commit(&write("a", first, "3")).await, conflict);
    let delete = Transaction { deletes: vec!["a".into()], ..write("b", 0, "x") };
    table.commit(&delete).await.expect("delete");
    let third = table.commit(&write("a", 0, "4")).await.expect("new row");
    assert!(third > second, "a new row must not reuse a version");
    assert_eq!(memory.counts().writes, 6);
}

/// Guards against scans that skip or repeat rows between pages.
#[tokio::test]
async fn scan_pages_neither_skip_nor_repeat_rows() {
    let table = MemoryPlatform::new().open().table;
    for key in ["a/1", "b/1", "b/2", "b/3", "c/1"] {
        table.commit(&write(key, 0, "")).await.expect("new row");
    }
    let mut seen = Vec::new();
    let mut after = String::new();
    loop {
        let rows = table.scan("b/", &after, 2).await.expect("rows");
        let Some(last) = rows.last() else { break };
        after = last.key.to_string();
        seen.extend(rows.into_iter().map(|row| row.key.to_string()));
    }
    assert_eq!(seen, ["b/1", "b/2", "b/3"]);
}

/// Guards against a lost response that also loses the write, and against writes that are applied
/// while the platform is unreachable.
#[tokio::test]
async fn injected_faults_take_effect() {
    let memory = MemoryPlatform::new();
    let table = memory.open().table;
    memory.inject_faults(|faults| faults.lost_responses = 1);
    let result = table.commit(&write("a", 0, "1")).await;
    assert!(matches!(result, Err(PlatformError::ResponseLost(_))), "{result:?}");
    assert!(table.read("a").await.expect("row").is_some());
    memory.inject_faults(|faults| faults.unreachable = true);
    let result = table.commit(&write("b", 0, "1")).await;
    assert!(matches!(result, Err(PlatformError::Unreachable(_))), "{result:?}");
    memory.inject_faults(|faults| faults.unreachable = false);
    assert!(table.read("b").await.expect("no row").is_none());
}

/// Guards against a list of VMs that shows a change before the lag has passed.
#[tokio::test(start_paused = true)]
async fn vm_list_shows_changes_after_the_lag() {
    let memory = MemoryPlatform::new();
    let vms = memory.open().vms;
    memory.inject_faults(|faults| faults.list_lag = Duration::from_secs(60));
    let address = ([127, 0, 0, 1], 1).into();
    let entry = VmEntry {
        vm: "vm-1".into(),
        incarnation: 1,
        place: Place { region: "r".into(), domain: "d".into() },
        callers: address,
        peers: address,
        state: VmState::Live,
    };
    vms.announce(&entry).await.expect("announced");
    tokio::time::advance(Duration::from_secs(59)).await;
    assert_eq!(vms.list().await, Ok(vec![]));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(vms.list().await, Ok(vec![entry]));
    memory.remove_vm("vm-1");
    assert_eq!(vms.list().await.map(|list| list.len()), Ok(1));
    tokio::time::advance(Duration::from_secs(60)).await;
    assert_eq!(vms.list().await, Ok(vec![]));
}
