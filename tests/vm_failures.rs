//! Guards against responses that are truncated, belong to another request or lack an outcome, while
//! one VM is killed and another one stops gracefully under load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use harness::{Caller, Fleet, KEY, Programs, ResponseKind, sample_layout, send_request};
use http::Method;

/// Maximum number of requests of one caller.
const MAX_REQUESTS: usize = 20_000;
/// Timeout for awaited conditions; generous, since machines differ in speed.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Consecutive complete responses that show that a caller is served again.
const MIN_CONSECUTIVE: usize = 20;
const KILLED: usize = 1;
const STOPPED: usize = 0;

/// Counts of one caller.
#[derive(Default)]
struct CallerCounts {
    sent: AtomicUsize,
    consecutive: AtomicUsize,
}

/// One caller that uses a VM for as long as the resolve responses list it.
struct CallerTask {
    number: usize,
    /// VMs that are neither killed nor stopped.
    surviving: Vec<SocketAddr>,
    killed: SocketAddr,
    current: SocketAddr,
    region: &'static str,
    counts: Arc<CallerCounts>,
    ended: Arc<AtomicBool>,
}

impl CallerTask {
    /// Resolves the address again, as a caller does whenever its resolve response has expired.
    async fn resolve(&mut self) -> anyhow::Result<()> {
        let target = format!("/.papayareel/entry?service=manus&region={}", self.region);
        let response =
            send_request(self.surviving[0], &Method::GET, &target, &[], "").await?.json();
        let listed = response["addresses"].as_array().cloned().unwrap_or_default();
        let listed: Vec<SocketAddr> =
            listed.iter().filter_map(|a| a["address"].as_str()?.parse().ok()).collect();
        let first = listed.first().context("the resolve response lists no address")?;
        if !listed.contains(&self.current) {
            self.current = *first;
        }
        Ok(())
    }

    async fn run(mut self) -> anyhow::Result<()> {
        let (mut caller, mut address) = (Caller::new(self.current), self.current);
        let mut resolved_at: Option<Instant> = None;
        for i in 0..MAX_REQUESTS {
            if self.ended.load(Ordering::Relaxed) {
                return Ok(());
            }
            // Well within the TTL of 1 s, so that no request uses an expired resolve response.
            if resolved_at.is_none_or(|at| at.elapsed() > Duration::from_millis(300)) {
                resolved_at = Some(Instant::now());
                self.resolve().await?;
            }
            if address != self.current {
                (caller, address) = (Caller::new(self.current), self.current);
            }
            let name = format!("{}-{i}", self.number);
            let target = match i % 5 {
                4 => format!("/manus/{name}?bytes={}", 1 + (i * 7919) % 200_000),
                _ => format!("/manus/{name}"),
            };
            let body = format!("body {name} ").repeat(1 + i % 40);
            let headers = [("papayareel-key", KEY)];
            let reply = caller.send(&Method::POST, &target, &headers, body.clone()).await;
            match reply.map(|reply| ResponseKind::classify(&reply, &target, body.as_bytes())) {
                Ok(ResponseKind::Complete) => {
                    self.counts.consecutive.fetch_add(1, Ordering::Relaxed);
                }
                Ok(ResponseKind::Refused { .. }) => {
                    self.counts.consecutive.store(0, Ordering::Relaxed)
                }
                Ok(ResponseKind::Invalid(text)) => anyhow::bail!(text),
                // Only the kill may break a connection; the caller then uses another VM.
                Err(_) if address == self.killed => {
                    self.current = self.surviving[0];
                    self.counts.consecutive.store(0, Ordering::Relaxed);
                }
                Err(error) => return Err(error.context(format!("{target} through {address}"))),
            }
            self.counts.sent.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }
}

async fn wait_until(failure: &str, is_met: impl Fn() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while !is_met() {
        ensure!(start.elapsed() < TIMEOUT, "{failure}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_stay_complete_while_one_vm_is_killed_and_another_stops() -> anyhow::Result<()> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let mut shape = sample_layout(4);
    // Longer than the TTL of 1 s, with a margin for slow machines.
    shape.settings["drain_ms"] = 4_000.into();
    let mut fleet = Fleet::start(programs, shape).await?;
    fleet.apply_sample_config().await?;

    let ended = Arc::new(AtomicBool::new(false));
    let counts: Vec<Arc<CallerCounts>> = (0..4).map(|_| Arc::default()).collect();
    let tasks = counts.iter().enumerate().map(|(i, caller_counts)| {
        let task = CallerTask {
            number: i,
            surviving: (0..4)
                .rev()
                .filter(|v| ![KILLED, STOPPED].contains(v))
                .map(|v| fleet.caller_address(v))
                .collect(),
            killed: fleet.caller_address(KILLED),
            current: fleet.caller_address(i),
            region: ["norrland", "gotaland"][i % 2],
            counts: Arc::clone(caller_counts),
            ended: Arc::clone(&ended),
        };
        task.run()
    });
    let mut tasks = std::pin::pin!(futures::future::try_join_all(tasks));
    let served = || counts.iter().all(|c| c.consecutive.load(Ordering::Relaxed) >= MIN_CONSECUTIVE);
    let reset_counts = || counts.iter().for_each(|c| c.consecutive.store(0, Ordering::Relaxed));
    let script = async {
        wait_until("not every caller is served at first", served).await?;
        fleet.vms[KILLED].take().context("the VM to kill does not run")?.kill()?;
        reset_counts();
        wait_until("not every caller is served after the kill", served).await?;
        let mut stopped = fleet.vms[STOPPED].take().context("the VM to stop does not run")?;
        stopped.signal("TERM")?;
        ensure!(stopped.wait(TIMEOUT).await?, "the stopped VM does not exit with code 0");
        reset_counts();
        wait_until("not every caller is served after the stop", served).await
    };
    tokio::select! {
        ended_early = &mut tasks => {
            ended_early?;
            anyhow::bail!("the callers sent all their requests before the end");
        }
        result = script => result?,
    }
    ended.store(true, Ordering::Relaxed);
    tasks.await?;
    let sent: usize = counts.iter().map(|c| c.sent.load(Ordering::Relaxed)).sum();
    println!("{sent} requests, no wrong response");
    Ok(())
}
