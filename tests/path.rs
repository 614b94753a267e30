//! Guards against responses that are cut, mixed up or refused without an outcome while a VM of the
//! fleet is killed and another one stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use harness::{Caller, Fleet, KEY, Programs, ResponseKind, sample_layout, send_request};
use http::Method;

/// Bound on the requests of one caller.
const MOST: usize = 20_000;
/// Generous limit for what has to come about.
const LIMIT: Duration = Duration::from_secs(60);
/// Whole responses in a row that show that a caller is served again.
const IN_A_ROW: usize = 20;
const KILLED: usize = 1;
const STOPPED: usize = 0;

/// What one caller has seen.
#[derive(Default)]
struct Tally {
    sent: AtomicUsize,
    in_a_row: AtomicUsize,
}

/// One caller that uses a VM for as long as the entry responses name it.
struct Stream {
    number: usize,
    /// The VMs that are neither killed nor stopped.
    vms: Vec<SocketAddr>,
    killed: SocketAddr,
    used: SocketAddr,
    region: &'static str,
    tally: Arc<Tally>,
    ended: Arc<AtomicBool>,
}

impl Stream {
    /// Chooses the address anew, as a caller does whenever its entry response is out of date.
    async fn choose(&mut self) -> anyhow::Result<()> {
        let target = format!("/.papayareel/entry?service=manus&region={}", self.region);
        let entry = send_request(self.vms[0], &Method::GET, &target, &[], "").await?.json();
        let listed = entry["addresses"].as_array().cloned().unwrap_or_default();
        let listed: Vec<SocketAddr> =
            listed.iter().filter_map(|a| a["address"].as_str()?.parse().ok()).collect();
        let first = listed.first().context("the entry names no address")?;
        if !listed.contains(&self.used) {
            self.used = *first;
        }
        Ok(())
    }

    async fn run(mut self) -> anyhow::Result<()> {
        let (mut caller, mut at) = (Caller::new(self.used), self.used);
        let mut fetched: Option<Instant> = None;
        for i in 0..MOST {
            if self.ended.load(Ordering::Relaxed) {
                return Ok(());
            }
            // Well before the TTL of 1 s, so that no request leaves on an old response.
            if fetched.is_none_or(|f| f.elapsed() > Duration::from_millis(300)) {
                fetched = Some(Instant::now());
                self.choose().await?;
            }
            if at != self.used {
                (caller, at) = (Caller::new(self.used), self.used);
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
                    self.tally.in_a_row.fetch_add(1, Ordering::Relaxed);
                }
                Ok(ResponseKind::Refused { .. }) => self.tally.in_a_row.store(0, Ordering::Relaxed),
                Ok(ResponseKind::Invalid(text)) => anyhow::bail!(text),
                // Only the kill may break a connection; the caller then takes another VM.
                Err(_) if at == self.killed => {
                    self.used = self.vms[0];
                    self.tally.in_a_row.store(0, Ordering::Relaxed);
                }
                Err(error) => return Err(error.context(format!("{target} through {at}"))),
            }
            self.tally.sent.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }
}

async fn wait_until(what: &str, met: impl Fn() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while !met() {
        ensure!(start.elapsed() < LIMIT, "{what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_response_is_whole_while_a_vm_is_killed_and_another_stops() -> anyhow::Result<()> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let mut shape = sample_layout(4);
    // Longer than the TTL of 1 s by more than a slow machine needs.
    shape.settings["drain_ms"] = 4_000.into();
    let mut fleet = Fleet::start(programs, shape).await?;
    fleet.apply_sample_config().await?;

    let ended = Arc::new(AtomicBool::new(false));
    let tallies: Vec<Arc<Tally>> = (0..4).map(|_| Arc::default()).collect();
    let streams = tallies.iter().enumerate().map(|(i, tally)| {
        let stream = Stream {
            number: i,
            vms: (0..4)
                .rev()
                .filter(|v| ![KILLED, STOPPED].contains(v))
                .map(|v| fleet.caller_address(v))
                .collect(),
            killed: fleet.caller_address(KILLED),
            used: fleet.caller_address(i),
            region: ["norrland", "gotaland"][i % 2],
            tally: Arc::clone(tally),
            ended: Arc::clone(&ended),
        };
        stream.run()
    });
    let mut streams = std::pin::pin!(futures::future::try_join_all(streams));
    let served = || tallies.iter().all(|t| t.in_a_row.load(Ordering::Relaxed) >= IN_A_ROW);
    let again = || tallies.iter().for_each(|t| t.in_a_row.store(0, Ordering::Relaxed));
    let script = async {
        wait_until("not every caller is served at first", served).await?;
        fleet.vms[KILLED].take().context("the VM to kill does not run")?.kill()?;
        again();
        wait_until("not every caller is served after the kill", served).await?;
        let mut stopped = fleet.vms[STOPPED].take().context("the VM to stop does not run")?;
        stopped.signal("TERM")?;
        ensure!(stopped.wait(LIMIT).await?, "the graceful stop does not exit with 0");
        again();
        wait_until("not every caller is served after the stop", served).await
    };
    tokio::select! {
        early = &mut streams => {
            early?;
            anyhow::bail!("the callers sent all their requests before the end");
        }
        result = script => result?,
    }
    ended.store(true, Ordering::Relaxed);
    streams.await?;
    let sent: usize = tallies.iter().map(|t| t.sent.load(Ordering::Relaxed)).sum();
    println!("{sent} requests, no wrong response");
    Ok(())
}
