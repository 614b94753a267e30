use std::sync::Arc;

use kernel::VmState;
use kernel::prelude::*;
use peers::Message;
use tokio::time::{MissedTickBehavior, interval};

use crate::shared::Shared;

/// Interval of the membership protocol and of the homes.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the rate limiter.
const LIMITER_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of reads of the platform's VM list. The list lags by minutes, so shorter intervals
/// gain little.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the free-slot reports between the homes of a service.
const FREE_SLOT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the checks of the configuration's age.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Length of the measurement of the organisations' shares. Shorter intervals have too few requests
/// for a meaningful ratio.
const SHARE_INTERVAL: Duration = Duration::from_secs(10);
/// A tick that is late by this much means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Interval at which idle connections to backend servers are closed and draining backend servers
/// are queried.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

fn ticker(period: Duration) -> tokio::time::Interval {
    let mut ticks = interval(period);
    // Ticks missed during a pause of the process are skipped.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

impl Shared {
    /// Runs the membership protocol.
    pub async fn run_membership(self: &Arc<Self>) {
        let mut ticks = ticker(TICK_INTERVAL);
        let mut last = self.now();
        loop {
            ticks.tick().await;
            let now = self.now();
            if now >= last + TICK_INTERVAL + PAUSE_THRESHOLD {
                let paused_ms = (now - last).as_millis() as u64;
                telemetry::event!(CLOCK_JUMPED, paused_ms = paused_ms);
            }
            last = now;
            let actions = self.random.with(|rng| self.membership().tick(now, rng));
            self.apply_membership_actions(actions);
        }
    }

    /// Announces this VM in the platform's VM list once and reads the list periodically.
    pub async fn sync_vm_list(self: &Arc<Self>) {
        let mut ticks = ticker(VM_LIST_INTERVAL);
        let mut announced = false;
        loop {
            ticks.tick().await;
            if !announced && !self.flags.stopping() {
                announced = self.platform.vms.announce(&self.this_vm).await.is_ok();
            }
            match self.platform.vms.list().await {
                Ok(list) => {
                    let now = self.now();
                    let actions = self.membership().merge_list(now, &list);
                    self.apply_membership_actions(actions);
                }
                Err(error) => telemetry::event!(VM_LIST_UNREAD, error = error.to_string()),
            }
        }
    }

    /// Updates the organisations' shares at the end of each interval, and logs when the
    /// configuration becomes stale or is confirmed again.
    pub async fn run_metrics(self: &Arc<Self>) {
        let mut ticks = ticker(METRICS_INTERVAL);
        let mut stale = false;
        let mut interval_start = self.now();
        loop {
            ticks.tick().await;
            let now = self.now();
            if stale != self.check_freshness().is_err() {
                stale = !stale;
                if stale {
                    let age_ms = self.staleness(now).as_millis() as u64;
                    telemetry::event!(CONFIG_STALE, age_ms = age_ms);
                } else {
                    telemetry::event!(CONFIG_CONFIRMED);
                }
            }
            if now >= interval_start + SHARE_INTERVAL {
                interval_start = now;
                self.request_metrics.end_interval(&self.lookup.load().config);
            }
        }
    }

    /// Runs the rate limiter.
    pub async fn run_limiter(self: &Arc<Self>) {
        let mut ticks = ticker(LIMITER_INTERVAL);
        loop {
            ticks.tick().await;
            let actions = self.limiter().poll(self.now());
            self.apply_limiter_actions(actions);
        }
    }

    /// Runs the detectors and queues of the services whose home is this VM.
    pub async fn run_homes(self: &Arc<Self>) {
        let mut ticks = ticker(TICK_INTERVAL);
        let mut idle = ticker(IDLE_CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    for (_, home) in self.engine().map(|e| e.schedulers()).unwrap_or_default() {
                        home.tick();
                    }
                }
                _ = idle.tick() => {
                    for (_, home) in self.engine().map(|e| e.schedulers()).unwrap_or_default() {
                        home.close_idle();
                        home.poll_draining();
                    }
                }
            }
        }
    }

    /// Reports the number of free slots to the homes in other regions.
    pub async fn report_free_slots(self: &Arc<Self>) {
        let mut ticks = ticker(FREE_SLOT_INTERVAL);
        loop {
            ticks.tick().await;
            let view = self.view.load_full();
            for (id, home) in self.engine().map(|e| e.schedulers()).unwrap_or_default() {
                let homes = view.service_homes(&id);
                if !homes.contains(&self.this_vm.incarnation) {
                    continue;
                }
                let (usable, used, waiting) = home.load();
                let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
                let free = usable.saturating_sub(used).saturating_sub(waiting);
                for vm in homes.iter().filter(|i| **i != self.this_vm.incarnation) {
                    if let Some(vm) = view.vm(*vm) {
                        self.send(vm.peers, vec![Message::FreeSlots(id.clone(), free)]);
                    }
                }
            }
        }
    }

    /// Removes this VM from the resolve responses and marks it as leaving in the platform's list.
    pub async fn leave(self: &Arc<Self>) {
        self.flags.mark_stopping();
        self.membership().leave();
        self.refresh_view();
        let mut entry = self.this_vm.clone();
        entry.state = VmState::Leaving;
        if let Err(error) = self.platform.vms.announce(&entry).await {
            telemetry::event!(VM_LIST_UNREAD, error = error.to_string());
        }
    }
}
