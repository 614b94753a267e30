//! Guards against callers that leave while their requests wait for a backend server.

use std::time::Duration;

use harness::{GATEWAY_KEY as KEY, GatewayFleet, gateway_request as request, wait_until};
use http::Method;

const SERVICE_TIME: Duration = Duration::from_millis(150);

/// A slot that was assigned to a waiting request whose caller left in the same turn of the event
/// loop was never given back, until the VM answered everything with 503.
#[tokio::test]
async fn caller_that_leaves_as_its_request_gets_a_slot_takes_no_slot_away() -> anyhow::Result<()> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    let backend = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    for round in 0..4 {
        let send = |number: u32| async move {
            request(leader, Method::GET, "/read/", &format!("{round}-{number}"), KEY).await
        };
        let callers: Vec<_> = (0..12).map(|number| tokio::spawn(send(number))).collect();
        let is_full = || async { backend.in_flight() == 4 };
        assert!(wait_until(Duration::from_secs(2), is_full).await, "round {round}: slots are lost");
        // A paused VM handles the responses and the disconnects in one turn.
        fleet.processes[0].signal("STOP")?;
        let is_done = || async { backend.in_flight() == 0 };
        assert!(wait_until(Duration::from_secs(2), is_done).await);
        callers.iter().for_each(|caller| caller.abort());
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.processes[0].signal("CONT")?;
        tokio::time::sleep(2 * SERVICE_TIME).await;
    }
    for number in 0..8 {
        let id = format!("calm-{number}");
        assert_eq!(request(leader, Method::GET, "/read/", &id, KEY).await?.status, 200, "{id}");
    }
    Ok(())
}
