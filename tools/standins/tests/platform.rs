//! Tests of the platform adapter against the platform stand-in over real HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::{
    Place, Platform, PlatformContext, PlatformError, Transaction, VmEntry, VmState, build_platform,
};
use platform_client::HttpPlatform;
use serde_json::json;
use standins::Server;
use standins::platform::{Options, serve};
use tokio::net::TcpListener;

/// Long enough that only a switched fault ends in a timeout.
const PATIENT: Duration = Duration::from_secs(30);

async fn start(options: Options, timeout: Duration) -> (Server, Platform) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let server = serve(listener, options).expect("server");
    let context = PlatformContext { address: server.address(), timeout };
    let platform = HttpPlatform::open(&context);
    (server, platform)
}

fn write(key: &str, version: u64, value: &str) -> Transaction {
    Transaction {
        checks: vec![(key.into(), version)],
        puts: vec![(key.into(), value.into())],
        deletes: Vec::new(),
    }
}

/// Guards against an adapter that speaks another protocol than the stand-in.
#[tokio::test]
async fn services_work_over_http() {
    let (_server, platform) = start(Options::default(), PATIENT).await;
    let key = "claim/a b&c=d/ü%";
    let version = platform.table.commit(&write(key, 0, "{}")).await.expect("commit");
    let row = platform.table.read(key).await.expect("read").expect("row");
    assert_eq!((&*row.key, row.version, &*row.value), (key, version, "{}"));
    assert_eq!(platform.table.read("none").await, Ok(None));
    assert_eq!(platform.table.scan("claim/", "", 10).await, Ok(vec![row]));
    let conflict = Err(PlatformError::Conflict { key: key.into() });
    assert_eq!(platform.table.commit(&write(key, 0, "x")).await, conflict);

    let name = "snapshot/a b%2F/1";
    let bytes = vec![0, 1, 2, 255];
    platform.objects.put(name, bytes.clone()).await.expect("put");
    assert_eq!(platform.objects.get(name).await, Ok(Some(bytes)));
    assert_eq!(platform.objects.list("snapshot/").await, Ok(vec![name.into()]));
    platform.objects.delete(name).await.expect("delete");
    assert_eq!(platform.objects.get(name).await, Ok(None));

    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = VmEntry {
        vm: "vm-1".into(),
        incarnation: u64::MAX,
        place: Place { region: "r".into(), domain: "d".into() },
        callers: address,
        peers: address,
        state: VmState::Leaving,
    };
    platform.vms.announce(&entry).await.expect("announce");
    assert_eq!(platform.vms.list().await, Ok(vec![entry]));
}

/// Guards against a lost reply that is taken for a write that did not happen.
#[tokio::test]
async fn lost_reply_is_reply_lost() {
    let (server, platform) = start(Options::default(), PATIENT).await;
    platform.table.commit(&write("warm", 0, "")).await.expect("commit");
    server.control(json!({"replies_lost": 1})).expect("switch");
    let lost = platform.table.commit(&write("a", 0, "1")).await;
    assert!(matches!(lost, Err(PlatformError::ResponseLost(_))), "{lost:?}");
    let row = platform.table.read("a").await.expect("read").expect("the write took effect");
    assert_eq!(&*row.value, "1");
}

/// Guards against an outage that is taken for a lost reply, and one that does not end.
#[tokio::test]
async fn refused_connection_is_unreachable() {
    let (server, platform) = start(Options::default(), PATIENT).await;
    platform.table.commit(&write("warm", 0, "")).await.expect("commit");
    server.control(json!({"refuse": true})).expect("switch");
    // The open connection closes a moment later; a request on it may have been sent.
    let mut last = platform.table.commit(&write("a", 0, "1")).await;
    for _ in 0..200 {
        if matches!(last, Err(PlatformError::Unreachable(_))) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        last = platform.table.commit(&write("a", 0, "1")).await;
    }
    assert!(matches!(last, Err(PlatformError::Unreachable(_))), "{last:?}");
    server.control(json!({"refuse": false})).expect("switch");
    let mut back = platform.table.read("warm").await;
    for _ in 0..200 {
        if back.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        back = platform.table.read("warm").await;
    }
    assert!(back.is_ok_and(|row| row.is_some()));
}

/// Guards against a request that was sent and not answered being taken for one that was not sent.
#[tokio::test]
async fn hanging_store_is_reply_lost() {
    let (server, platform) = start(Options::default(), Duration::from_millis(200)).await;
    server.control(json!({"hang": true})).expect("switch");
    let lost = platform.table.commit(&write("a", 0, "1")).await;
    assert!(matches!(lost, Err(PlatformError::ResponseLost(_))), "{lost:?}");
}

/// Guards against a late write: a slow commit takes effect after its sender has given up.
#[tokio::test]
async fn slow_commit_takes_effect_later() {
    let (server, platform) = start(Options::default(), Duration::from_millis(100)).await;
    server.control(json!({"slow_ms": 400})).expect("switch");
    let lost = platform.table.commit(&write("a", 0, "1")).await;
    assert!(matches!(lost, Err(PlatformError::ResponseLost(_))), "{lost:?}");
    let before = server.seen(None)["writes"].clone();
    server.control(json!({"slow_ms": 0})).expect("switch");
    for _ in 0..500 {
        if server.seen(None)["writes"] != before {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(server.seen(None)["writes"], json!(1));
}

/// Guards against a read that fails because its idle connection was closed in the meantime.
#[tokio::test]
async fn read_survives_a_closed_idle_connection() {
    let (server, platform) = start(Options::default(), PATIENT).await;
    for _ in 0..20 {
        assert_eq!(platform.table.read("a").await, Ok(None));
        let connections = server.seen(None)["connections"].clone();
        assert_eq!(connections, json!(1), "the connection is used again");
        server.control(json!({"refuse": true})).expect("switch");
        server.control(json!({"refuse": false})).expect("switch");
    }
}

/// Guards against an over-budget answer that is taken for an outage or a success.
#[tokio::test]
async fn over_budget_is_throttled() {
    let tight = Options { writes_per_s: 0.001, reads_per_s: 0.001 };
    let (server, platform) = start(tight, PATIENT).await;
    // A bucket of less than one token starts full, and one write takes all of it.
    platform.table.commit(&write("a", 0, "1")).await.expect("within the budget");
    let second = platform.table.commit(&write("b", 0, "1")).await;
    assert_eq!(second, Err(PlatformError::Throttled));
    assert!(platform.table.read("a").await.is_ok());
    assert_eq!(platform.table.read("a").await, Err(PlatformError::Throttled));
    let seen = server.seen(None);
    assert_eq!((&seen["reads_refused"], &seen["writes_refused"]), (&json!(1), &json!(1)));
}

/// Guards against a server of another kind that is taken for an empty platform.
#[tokio::test]
async fn wrong_server_is_garbled() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let options = standins::backend::Options::default();
    let server = standins::backend::serve(listener, options).expect("server");
    let context = PlatformContext { address: server.address(), timeout: PATIENT };
    let platform = build_platform("http", &context).expect("plug-in");
    let answer = platform.table.commit(&write("a", 0, "1")).await;
    assert!(matches!(answer, Err(PlatformError::InvalidResponse(_))), "{answer:?}");
}
