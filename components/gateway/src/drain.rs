use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use adapter::read_boot_config;
use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::bus::notify_domain;
use crate::datagram::Datagram;
use crate::node::Node;

/// Part of the grace period in which callers with old addresses may still connect.
const OPEN: f64 = 0.75;
/// Part of the grace period after which the process ends whatever still runs.
const END: f64 = 0.97;
/// Time between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT, and hands the callers over to another VM.
pub async fn drain(node: Arc<Node>, stop: CancellationToken) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    node.stop();
    node.state().election.set_eligible(false);
    telemetry::event!(STOPPING, vm = node.boot.load().vm);
    // Twice, because a datagram may be lost.
    for _ in 0..2 {
        notify_domain(&node, &Datagram::Stop(node.vm)).await;
        sleep(Duration::from_millis(20)).await;
    }
    let grace = node.boot.load().fleet_limits.grace_period;
    sleep(grace.mul_f64(OPEN)).await;
    stop.cancel();
    Ok(())
}

/// Longest time from `stop` to the end of the process.
pub fn last_wait(node: &Node) -> Duration {
    node.boot.load().fleet_limits.grace_period.mul_f64(END - OPEN)
}

/// Reads the settings file again when it changes or SIGHUP comes.
pub async fn reload(node: Arc<Node>, path: PathBuf) -> anyhow::Result<()> {
    let mut hup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let changed = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut seen: Option<SystemTime> = changed();
    loop {
        let asked = tokio::select! {
            _ = hup.recv() => true,
            _ = looks.tick() => false,
        };
        let modified = changed();
        if !asked && modified == seen {
            continue;
        }
        seen = modified;
        match read_boot_config(&path) {
            Ok(boot) => {
                telemetry::event!(SETTINGS_RELOADED, vm = boot.vm, asked = asked);
                node.boot.store(Arc::new(boot));
            }
            Err(error) => telemetry::event!(SETTINGS_REFUSED, error = error.to_string()),
        }
    }
}
