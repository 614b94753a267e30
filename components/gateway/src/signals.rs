use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use adapter::read_boot_config;
use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::datagram::Datagram;
use crate::messaging::notify_domain;
use crate::node::Node;

/// Fraction of the grace period (from SIGTERM to SIGKILL) during which callers with old addresses
/// may still connect.
const LISTEN_FRACTION: f64 = 0.75;
/// Fraction of the grace period after which the process exits with requests still in flight.
const EXIT_FRACTION: f64 = 0.97;
/// Interval of checks whether the settings file has changed without a signal.
const RELOAD_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT, announces the stop to other VMs, and closes the listeners after
/// callers have had time to move.
pub async fn stop_on_signal(node: Arc<Node>, stop: CancellationToken) -> anyhow::Result<()> {
    let mut sigterm = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut sigint = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    node.mark_stopping();
    node.state().election.set_eligible(false);
    telemetry::event!(STOPPING, vm = node.boot_config.load().vm);
    // Sent twice, because a datagram may be lost.
    for _ in 0..2 {
        notify_domain(&node, &Datagram::Stop(node.incarnation)).await;
        sleep(Duration::from_millis(20)).await;
    }
    let grace = node.boot_config.load().fleet_limits.grace_period;
    sleep(grace.mul_f64(LISTEN_FRACTION)).await;
    stop.cancel();
    Ok(())
}

/// Maximum time from closing the listeners to the end of the process.
pub fn finish_timeout(node: &Node) -> Duration {
    node.boot_config.load().fleet_limits.grace_period.mul_f64(EXIT_FRACTION - LISTEN_FRACTION)
}

/// Reloads the platform's settings file when it changes or on SIGHUP.
pub async fn reload(node: Arc<Node>, path: PathBuf) -> anyhow::Result<()> {
    let mut sighup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let mut checks = interval(RELOAD_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let modified_at = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut last_modified: Option<SystemTime> = modified_at();
    loop {
        let signalled = tokio::select! {
            _ = sighup.recv() => true,
            _ = checks.tick() => false,
        };
        let modified = modified_at();
        if !signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match read_boot_config(&path) {
            Ok(boot_config) => {
                telemetry::event!(SETTINGS_RELOADED, vm = boot_config.vm, asked = signalled);
                node.boot_config.store(Arc::new(boot_config));
            }
            Err(error) => telemetry::event!(SETTINGS_REFUSED, error = error.to_string()),
        }
    }
}
