//! Guards against rows of another writer in the table of backend servers that end the process, hide
//! the good rows beside them, or stop the gateway from following the table.

use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY as KEY, GatewayFleet, gateway_request as request, wait_until};
use http::Method;
use standins::odd_entries::{large_backend_entry, odd_backend_entries};
use standins::wire;

const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Number of rows of the flood.
const FLOOD_ROWS: usize = 1000;
/// Maximum size of a value in the store.
const MAX_VALUE_BYTES: usize = 65_536;
/// Upper bound of the resident memory of a gateway.
const MAX_MEMORY_BYTES: u64 = 100_000_000;

#[tokio::test]
async fn odd_rows_harm_no_good_one() -> anyhow::Result<()> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    let first = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    // The first VM reads the rows as changes, the one that starts later reads the whole table.
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    for (number, value) in odd_backend_entries().iter().enumerate() {
        fleet.store.put_bytes("servers", &format!("odd-{number}"), value);
    }
    fleet.store.put_raw_text("servers", "odd-text", "no base64 !");
    fleet.store.put_bytes("servers", &"k".repeat(200), b"{}");
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    // The table is still followed.
    let second = fleet.start_backend(2, "a1", SERVICE_TIME).await?;
    fleet.store.delete_row("servers", "i-1");
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let before = first.run_count();
    for number in 0..20 {
        let id = format!("id-{number}");
        let reply =
            request(fleet.caller_address(number % 2), Method::GET, "/read/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 200, "{id}");
    }
    assert_eq!((first.run_count(), second.run_count()), (before, 20));
    let log = fleet.log(0) + &fleet.log(1);
    assert!(log.contains("entry-unreadable"));
    let longest = log.lines().map(str::len).max().unwrap_or(0);
    assert!(longest < 2000, "a log line has {longest} bytes");
    // A good row that is odd for a moment names no server meanwhile, and one afterwards.
    for value in odd_backend_entries() {
        fleet.store.put_bytes("servers", "i-2", &value);
    }
    fleet.store.put(
        "servers",
        "i-2",
        &wire::backend_entry("scripts", second.address(), "a1", "ready", 1),
    );
    let serves = || async {
        let reply = request(leader, Method::GET, "/read/", "again", KEY).await;
        reply.is_ok_and(|reply| reply.status.as_u16() == 200)
    };
    assert!(wait_until(Duration::from_secs(3), serves).await);
    for process in &fleet.processes {
        process.signal("CONT").map_err(|error| error.context("a gateway has ended"))?;
    }
    Ok(())
}

/// A thousand odd rows of the largest size, at the gateway and at one that syncs from it.
#[tokio::test]
async fn flood_of_odd_rows_takes_no_memory() -> anyhow::Result<()> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    let server = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let value = large_backend_entry(MAX_VALUE_BYTES);
    for number in 0..FLOOD_ROWS {
        fleet.store.put_bytes("servers", &format!("odd-{number}"), &value);
        if number % 50 == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        let reply = request(leader, Method::GET, "/read/", "id-1", KEY).await?;
        assert_eq!(reply.status.as_u16(), 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(server.run_count() > 0);
    for process in &fleet.processes {
        let memory = harness::memory_bytes(process.id())?;
        assert!(memory < MAX_MEMORY_BYTES, "a gateway takes {memory} bytes");
    }
    Ok(())
}
