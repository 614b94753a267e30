use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use adapter::read_boot_config;
use anyhow::Context;
use dispatch::StopSchedule;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::datagram::Datagram;
use crate::messaging::notify_domain;
use crate::node::Node;

/// Interval of checks whether the settings file has changed without a signal.
const RELOAD_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Signals that the process handles.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes over the signals, whose default is to end the process at once.
    pub fn register() -> anyhow::Result<Signals> {
        let take = |kind, name| {
            signal(kind).with_context(|| format!("cannot wait for {name}; start the process again"))
        };
        Ok(Signals {
            terminate: take(SignalKind::terminate(), "SIGTERM")?,
            interrupt: take(SignalKind::interrupt(), "SIGINT")?,
            hangup: take(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Separates the signals to stop from the one to reload the settings.
    pub fn split(self) -> (StopSignals, Signal) {
        (StopSignals { terminate: self.terminate, interrupt: self.interrupt }, self.hangup)
    }
}

/// Signals that ask the process to stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

/// Waits for SIGTERM or SIGINT, announces the stop to other VMs, and closes the listeners after
/// callers have had time to move.
pub async fn stop_on_signal(
    node: &Node,
    mut signals: StopSignals,
    stop: CancellationToken,
) -> StopSchedule {
    tokio::select! {
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
    }
    let schedule = node.begin_stop();
    {
        let mut state = node.state();
        state.election.set_eligible(false);
        state.domain_share.begin_stop();
    }
    telemetry::event!(STOPPING, vm = node.boot_config.load().vm);
    // Sent twice, because a datagram may be lost.
    for _ in 0..2 {
        notify_domain(node, &Datagram::Stop(node.incarnation)).await;
        sleep(Duration::from_millis(20)).await;
    }
    sleep(schedule.listen_until.saturating_sub(node.now())).await;
    stop.cancel();
    schedule
}

/// Reloads the platform's settings file when it changes or on SIGHUP.
pub async fn reload(node: Arc<Node>, path: PathBuf, mut hangup: Signal) {
    let mut checks = interval(RELOAD_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let modified_at = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut last_modified: Option<SystemTime> = modified_at();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
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
