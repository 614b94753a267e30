//! Guards against a restarted VM that brings back what was gone: it syncs from a VM that is cut off
//! from the store, and accepts a key that was withdrawn or sends requests to a server that has left.

use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY as KEY, GatewayFleet, gateway_request as request, wait_until};
use http::Method;
use soak::{LinkMode, Proxy};
use standins::gateway_store::StoreMode;

const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time after its start within which a VM must serve.
const START_LIMIT: Duration = Duration::from_secs(5);

/// A fleet whose VM 0 was cut off from the store for some seconds when the key was withdrawn and a
/// server left, with the key that replaced it.
async fn fleet_with_stale_vm() -> anyhow::Result<(GatewayFleet, Vec<impl Sized>, Proxy)> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    let left = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let stays = fleet.start_backend(2, "a1", SERVICE_TIME).await?;
    let proxy = Proxy::serve(fleet.bind_backend(90).await?, fleet.store.address())?;
    fleet.store_address = Some(proxy.address);
    fleet.start(0, "a1")?;
    fleet.wait_until_ready(0, "a1").await?;
    fleet.store_address = None;
    proxy.set_mode(LinkMode::Reset);
    fleet.write_config(&["another"]);
    fleet.store.delete_row("servers", "i-1");
    tokio::time::sleep(Duration::from_millis(3500)).await;
    Ok((fleet, vec![left, stays], proxy))
}

#[tokio::test]
async fn restarted_vm_does_not_use_what_a_stale_one_has() -> anyhow::Result<()> {
    let (mut fleet, _servers, _proxy) = fleet_with_stale_vm().await?;
    fleet.start(1, "a1")?;
    let start = Instant::now();
    let address = fleet.caller_address(1);
    let mut statuses = Vec::new();
    while start.elapsed() < START_LIMIT {
        if let Ok(reply) = request(address, Method::GET, "/read/", "withdrawn", KEY).await {
            statuses.push(reply.status.as_u16());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(statuses.iter().all(|status| [401, 503].contains(status)), "{statuses:?}");
    assert_eq!(statuses.last(), Some(&401));
    let reply = request(address, Method::GET, "/read/", "new", "another").await?;
    assert_eq!(reply.status.as_u16(), 200);
    Ok(())
}

/// Stale data is better than none only where the store cannot be asked.
#[tokio::test]
async fn restarted_vm_serves_with_old_data_while_the_store_is_away() -> anyhow::Result<()> {
    let (mut fleet, _servers, _proxy) = fleet_with_stale_vm().await?;
    fleet.store.set_mode(StoreMode::Unresponsive);
    fleet.start(1, "a1")?;
    let address = fleet.caller_address(1);
    let serves = || async {
        let reply = request(address, Method::GET, "/read/", "old", KEY).await;
        reply.is_ok_and(|reply| reply.status.as_u16() == 200)
    };
    assert!(wait_until(START_LIMIT, serves).await);
    Ok(())
}
