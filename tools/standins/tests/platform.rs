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

/// Timeout that is never reached without an injected fault.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

async fn start(options: Options, timeout: Duration) -> (Server, Platform) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let server = serve(listener, options).expect("server");
    let context = PlatformContext { address: server.address(), timeout };
    let platform = HttpPlatform::open(&context);
    (server, platform)
}

fn put_transaction(key: &str, version: u64, value: &str) -> Transaction {
    Transaction {
        checks: vec![(key.into(), version)],
        puts: vec![(key.into(), value.into())],
        deletes: Vec::new(),
    }
}

/// Guards against an HTTP client whose protocol differs from that of the stand-in.
#[tokio::test]
async fn platform_services_work_over_http() {
    let (_server, platform) = start(Options::default(), LONG_TIMEOUT).await;
    let key = "claim/a b&c=d/ü%";
    let version = platform.table.commit(&put_transaction(key, 0, "{}")).await.expect("commit");
    let row = platform.table.read(key).await.expect("read").expect("row");
    assert_eq!((&*row.key, row.version, &*row.value), (key, version, "{}"));
    assert_eq!(platform.table.read("none").await, Ok(None));
    assert_eq!(platform.table.scan("claim/", "", 10).await, Ok(vec![row]));
    let conflict = Err(PlatformError::Conflict { key: key.into() });
    assert_eq!(platform.table.commit(&put_transaction(key, 0, "x")).await, conflict);

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

/// Guards against treating a commit whose response was lost as one that had no effect.
#[tokio::test]
async fn lost_response_is_reported_as_lost() {
    let (server, platform) = start(Options::default(), LONG_TIMEOUT).await;
    platform.table.commit(&put_transaction("warm", 0, "")).await.expect("commit");
    server.control(json!({"replies_lost": 1})).expect("switch");
    let lost = platform.table.commit(&put_transaction("a", 0, "1")).await;
    assert!(matches!(lost, Err(PlatformError::ResponseLost(_))), "{lost:?}");
    let row = platform.table.read("a").await.expect("read").expect("the write took effect");
    assert_eq!(&*row.value, "1");
}

/// Guards against reporting refused connections as a lost response, and against an outage that does
/// not end.
#[tokio::test]
async fn refused_connection_is_unreachable() {
    let (server, platform) = start(Options::default(), LONG_TIMEOUT).await;
    platform.table.commit(&put_transaction("warm", 0, "")).await.expect("commit");
    server.control(json!({"refuse": true})).expect("switch");
    // The open connection closes a moment later, and a request may still have been sent on it.
    let mut last = platform.table.commit(&put_transaction("a", 0, "1")).await;
    for _ in 0..200 {
        if matches!(last, Err(PlatformError::Unreachable(_))) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        last = platform.table.commit(&put_transaction("a", 0, "1")).await;
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

/// Guards against treating a request that was sent without a response as one that was not sent.
#[tokio::test]
async fn hanging_store_is_reported_as_lost_response() {
    let (server, platform) = start(Options::default(), Duration::from_millis(200)).await;
    server.control(json!({"hang": true})).expect("switch");
    let lost = platform.table.commit(&put_transaction("a", 0, "1")).await;
    assert!(matches!(lost, Err(PlatformError::ResponseLost(_))), "{lost:?}");
}

/// Guards against a stand-in that drops a slow commit whose sender has given up: on the platform it
/// still takes effect.
#[tokio::test]
async fn slow_commit_takes_effect_later() {
    let (server, platform) = start(Options::default(), Duration::from_millis(100)).await;
    server.control(json!({"slow_ms": 400})).expect("switch");
    let lost = platform.table.commit(&put_transaction("a", 0, "1")).await;
    assert!(matches!(lost, Err(PlatformError::ResponseLost(_))), "{lost:?}");
    let before = server.observed(None)["writes"].clone();
    server.control(json!({"slow_ms": 0})).expect("switch");
    for _ in 0..500 {
        if server.observed(None)["writes"] != before {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(server.observed(None)["writes"], json!(1));
}

/// Guards against a read that fails because the server closed the idle connection before it.
#[tokio::test]
async fn read_survives_a_closed_idle_connection() {
    let (server, platform) = start(Options::default(), LONG_TIMEOUT).await;
    for _ in 0..20 {
        assert_eq!(platform.table.read("a").await, Ok(None));
        let connections = server.observed(None)["connections"].clone();
        assert_eq!(connections, json!(1), "the connection is reused");
        server.control(json!({"refuse": true})).expect("switch");
        server.control(json!({"refuse": false})).expect("switch");
    }
}

/// Guards against treating a throttled call as an outage or as a success.
#[tokio::test]
async fn calls_over_the_rate_limit_are_throttled() {
    let low_limits = Options { writes_per_s: 0.001, reads_per_s: 0.001 };
    let (server, platform) = start(low_limits, LONG_TIMEOUT).await;
    // A bucket of less than one token starts full, and one write empties it.
    platform.table.commit(&put_transaction("a", 0, "1")).await.expect("within the budget");
    let second = platform.table.commit(&put_transaction("b", 0, "1")).await;
    assert_eq!(second, Err(PlatformError::Throttled));
    assert!(platform.table.read("a").await.is_ok());
    assert_eq!(platform.table.read("a").await, Err(PlatformError::Throttled));
    let seen = server.observed(None);
    assert_eq!((&seen["reads_refused"], &seen["writes_refused"]), (&json!(1), &json!(1)));
}

/// Guards against treating a server of another kind as an empty platform.
#[tokio::test]
async fn response_of_another_server_is_invalid() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let options = standins::backend::Options::default();
    let server = standins::backend::serve(listener, options).expect("server");
    let context = PlatformContext { address: server.address(), timeout: LONG_TIMEOUT };
    let platform = build_platform("http", &context).expect("plug-in");
    let result = platform.table.commit(&put_transaction("a", 0, "1")).await;
    assert!(matches!(result, Err(PlatformError::InvalidResponse(_))), "{result:?}");
}
