//! Guards against configurations that reach some VMs late: large ones that every VM pulls whole over
//! one slow link, and new ones that the store gives to no VM of a failure domain.

use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY as KEY, GatewayFleet, gateway_request, wait_until};
use http::Method;
use serde_json::Value;
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;

/// Time within which a configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2500);
/// What each of 480 VMs of a failure domain may receive so that all of them have it in this time
/// from one VM with a link of 10 Mbit/s.
const MAX_UPDATE_BYTES: usize = 10_000_000 / 8 * 5 / 2 / 480;
const ROUTE_COUNT: u16 = 1400;

/// The calls of this release.
#[tarpc::service]
trait Sync {
    async fn knowledge(version: u64, backends: u64, compressed: Option<bool>) -> Value;
}

/// The calls of older releases.
mod older {
    #[tarpc::service]
    pub trait Sync {
        async fn knowledge(version: u64, backends: u64) -> serde_json::Value;
    }
}

/// Opens a connection for calls to the first VM.
macro_rules! connect {
    ($client:ty, $fleet:expr) => {{
        let stream = tokio::net::TcpStream::connect($fleet.peer_address(0)).await?;
        let framed = LengthDelimitedCodec::builder().max_frame_length(32 << 20).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Json::default());
        <$client>::new(tarpc::client::Config::default(), transport).spawn()
    }};
}

/// Writes a configuration and waits until it is in force; returns its version.
async fn apply_config(fleet: &mut GatewayFleet, extra_routes: u16) -> anyhow::Result<u64> {
    fleet.extra_routes = extra_routes;
    let version = fleet.write_config(&[KEY]);
    let learned = format!("\"version\":{version}");
    let in_force =
        || async { fleet.log(0).lines().any(|l| l.contains("901") && l.contains(&learned)) };
    anyhow::ensure!(wait_until(APPLY_LIMIT, in_force).await, "{}", fleet.log(0));
    Ok(version)
}

/// Starts a VM with a large configuration and adds a route; returns both versions.
async fn fleet_with_added_route() -> anyhow::Result<(GatewayFleet, u64, u64)> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.extra_routes = ROUTE_COUNT;
    let first = fleet.write_config(&[KEY]);
    fleet.start(0, "a1")?;
    fleet.wait_until_ready(0, "a1").await?;
    let second = apply_config(&mut fleet, ROUTE_COUNT + 1).await?;
    Ok((fleet, first, second))
}

// Guards against CONFIG on a grown site: to learn of one changed route, each of 27 VMs pulled the
// whole configuration from a VM with a link of 10 Mbit/s, and every pull timed out.
#[tokio::test]
async fn vm_that_lacks_one_change_is_sent_that_change() -> anyhow::Result<()> {
    let (fleet, first, second) = fleet_with_added_route().await?;
    let client = connect!(SyncClient, fleet);
    let reply = client.knowledge(tarpc::context::current(), first, u64::MAX, Some(true)).await?;
    let bytes = reply.to_string().len();
    assert!(bytes <= MAX_UPDATE_BYTES, "{bytes} bytes from version {first} to {second}");
    assert_eq!(reply["update"]["Patches"][0]["to"], second);
    Ok(())
}

// Guards against a release that cannot be rolled out VM by VM.
#[tokio::test]
async fn vm_of_an_older_release_is_sent_the_configuration_as_it_is() -> anyhow::Result<()> {
    let (fleet, first, second) = fleet_with_added_route().await?;
    let client = connect!(older::SyncClient, fleet);
    let reply = client.knowledge(tarpc::context::current(), first, 0).await?;
    let config: Value = serde_json::from_str(reply["configuration"].as_str().unwrap_or_default())?;
    assert_eq!(config["version"], format!("r{second}"));
    assert!(reply["rows"]["rows"].is_array(), "{}", reply["rows"]);
    Ok(())
}

// Guards against transfers that share a slow link until all of them time out: a VM that starts, or that
// lacks many routes, waits its turn or asks another VM.
#[tokio::test]
async fn large_updates_are_sent_to_a_few_vms_at_a_time() -> anyhow::Result<()> {
    let (mut fleet, ..) = fleet_with_added_route().await?;
    let before = apply_config(&mut fleet, 10).await?;
    let after = apply_config(&mut fleet, ROUTE_COUNT).await?;
    let last = apply_config(&mut fleet, ROUTE_COUNT + 1).await?;
    let mut clients = Vec::new();
    for version in [0, 0, before, 0] {
        let client = connect!(SyncClient, fleet);
        let reply =
            client.knowledge(tarpc::context::current(), version, u64::MAX, Some(true)).await?;
        assert_eq!(reply["busy"], false, "version {version}");
        clients.push(client);
    }
    let late = connect!(SyncClient, fleet);
    let call = |version| late.knowledge(tarpc::context::current(), version, u64::MAX, Some(true));
    assert_eq!(call(0).await?["busy"], true);
    assert_eq!(call(before).await?["busy"], true, "a patch with most routes");
    let reply = call(after).await?;
    assert_eq!(reply["update"]["Patches"][0]["to"], last, "a small patch needs no turn");

    clients.pop();
    let free = || async { call(0).await.is_ok_and(|reply| reply["busy"] == false) };
    assert!(wait_until(APPLY_LIMIT, free).await, "the turn of a VM that has left is not passed on");
    Ok(())
}

// Guards against a failure domain that keeps an old configuration because the store refuses all of
// its VMs, while the VMs of the others have the new one.
#[tokio::test]
async fn refused_failure_domain_learns_of_a_configuration_from_another_one() -> anyhow::Result<()> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    let _backend = fleet.start_backend(1, "a1", Duration::from_millis(20)).await?;
    fleet.write_config(&[KEY]);
    fleet.start(0, "a1")?;
    fleet.wait_until_ready(0, "a1").await?;
    let closed = fleet.bind_backend(9).await?;
    fleet.store_address = Some(closed.local_addr()?);
    drop(closed);
    fleet.start(1, "b1")?;
    let refused = fleet.wait_until_ready(1, "b1").await?;
    assert_eq!(refused, fleet.caller_address(1));

    // Several in a row: each must arrive in time.
    for round in 0..3 {
        let key = format!("key-{round}");
        fleet.write_config(&[KEY, &key]);
        let written = Instant::now();
        let accepted = || async {
            let id = format!("id-{round}-{}", written.elapsed().as_millis());
            let reply = gateway_request(refused, Method::GET, "/read/", &id, &key).await;
            reply.is_ok_and(|reply| reply.status.as_u16() == 200)
        };
        assert!(wait_until(APPLY_LIMIT, accepted).await, "round {round}: {}", fleet.log(1));
        // The other domain's next heartbeat is due at any time.
        tokio::time::sleep(Duration::from_millis(370)).await;
    }
    Ok(())
}
