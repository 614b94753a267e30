//! Guards against backend servers that get no work because the VM that serves their failure domain
//! cannot connect to them, while other VMs can, and against relays that misreport what was sent.

use std::time::Duration;

use bytes::Bytes;
use harness::{
    Caller, GATEWAY_KEY as KEY, GatewayFleet, HttpResponse, gateway_request, wait_until,
};
use http::Method;
use standins::gateway_backend::{BackendMode, GatewayBackend};
use standins::wire::EXPECTED_INSTANCE_HEADER;

/// Service time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(30);

async fn fleet() -> anyhow::Result<GatewayFleet> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    Ok(fleet)
}

async fn send_by_relay(
    fleet: &GatewayFleet,
    backend: &str,
    task: &str,
) -> anyhow::Result<HttpResponse> {
    let headers = [
        ("host", harness::GATEWAY_HOST),
        ("request-id", "id-1"),
        ("deadline-ms", "2000"),
        (EXPECTED_INSTANCE_HEADER, backend),
        ("papayareel-relay-backend", backend),
        ("papayareel-relay-task", task),
    ];
    Caller::new(fleet.relay_address(0)).send(&Method::GET, "/read/", &headers, Bytes::new()).await
}

#[tokio::test]
async fn relay_reports_whether_request_was_sent() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let target = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let closed = fleet.bind_backend(2).await?;
    fleet.register_backend(2, "a1", closed.local_addr()?, "ready");
    drop(closed);
    fleet.start(0, "a1")?;
    fleet.wait_until_ready(0, "a1").await?;
    let outcome = |reply: &HttpResponse| reply.header("papayareel-relay-ended").to_owned();

    assert_eq!(outcome(&send_by_relay(&fleet, "i-1", "connect").await?), "answered");
    assert_eq!(target.run_count(), 0, "a connection check must not send a request");
    let reply = send_by_relay(&fleet, "i-1", "once").await?;
    assert_eq!((outcome(&reply), reply.status.as_u16()), ("answered".into(), 200));
    assert_eq!(reply.header("response-signature"), "i-1.0");
    assert!(!target.observed().headers.keys().any(|name| name.starts_with("papayareel")));

    for backend in ["i-2", "i-9"] {
        assert_eq!(
            outcome(&send_by_relay(&fleet, backend, "connect").await?),
            "unsent",
            "{backend}"
        );
        assert_eq!(outcome(&send_by_relay(&fleet, backend, "once").await?), "unsent", "{backend}");
    }
    for manner in [BackendMode::LosingResponses, BackendMode::WrongRequestId] {
        target.set_mode(manner);
        assert_eq!(outcome(&send_by_relay(&fleet, "i-1", "once").await?), "broken", "{manner:?}");
    }
    Ok(())
}

// On scale-1 of a grown site a third of the backend servers of a service had no work for seconds,
// because the leader of their failure domain could not connect to them, while other VMs could.
#[tokio::test]
async fn unreachable_backend_server_is_reached_through_another_vm() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let closed = fleet.bind_backend(1).await?;
    let address = closed.local_addr()?;
    fleet.register_backend(1, "a1", address, "ready");
    drop(closed);
    fleet.start(0, "a1")?;
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let index = u8::from(leader != fleet.caller_address(0));
    let log = || fleet.log(index);
    let reply = gateway_request(leader, Method::POST, "/write/", "id-1", KEY).await?;
    assert_eq!(
        reply.status.as_u16(),
        503,
        "no VM can connect, so that the request must be refused"
    );

    let listener = tokio::net::TcpListener::bind(address).await?;
    let target = GatewayBackend::serve(listener, "i-1", SERVICE_TIME)?;
    let relay_found = || async { log().contains("relay-found") };
    assert!(wait_until(Duration::from_secs(6), relay_found).await, "{}", log());
    let reply = gateway_request(leader, Method::POST, "/write/", "id-2", KEY).await?;
    assert_eq!((reply.status.as_u16(), target.run_count()), (200, 1));
    let relay_ended = || async { log().contains("relay-ended") };
    assert!(wait_until(Duration::from_secs(10), relay_ended).await, "{}", log());
    Ok(())
}
