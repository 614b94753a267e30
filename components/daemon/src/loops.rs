use std::sync::Arc;

use kernel::VmState;
use kernel::prelude::*;
use peers::Message;
use tokio::time::{MissedTickBehavior, interval};

use crate::shared::Shared;

/// Period of the failure detector and of the homes.
const TICK: Duration = Duration::from_millis(50);
/// Period of the rate limiter.
const LIMITER_TICK: Duration = Duration::from_millis(20);
/// Period of the reads of the platform's list. It lags by minutes, so that a faster one finds
/// little more.
const LIST_TICK: Duration = Duration::from_secs(5);
/// Period of the reports of free slots between the homes of a service.
const REPORT_TICK: Duration = Duration::from_millis(200);
/// Period in which the age of the configuration is looked at.
const METER_TICK: Duration = Duration::from_secs(1);
/// Interval of the organisations' shares. Shorter ones have too few requests for a fair ratio.
const SHARE_INTERVAL: Duration = Duration::from_secs(10);
/// A tick that is this late tells of a pause of the process.
const PAUSED: Duration = Duration::from_millis(500);
/// Period in which idle connections to backend servers are looked for and backend servers that are
/// leaving are asked for news.
const IDLE_TICK: Duration = Duration::from_secs(5);

fn every(period: Duration) -> tokio::time::Interval {
    let mut ticks = interval(period);
    // After a pause of the process the missed ticks are not made up for.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

impl Shared {
    /// Runs the failure detector.
    pub async fn run_membership(self: &Arc<Self>) {
        let mut ticks = every(TICK);
        let mut last = self.now();
        loop {
            ticks.tick().await;
            let now = self.now();
            if now >= last + TICK + PAUSED {
                let paused_ms = (now - last).as_millis() as u64;
                telemetry::event!(CLOCK_JUMPED, paused_ms = paused_ms);
            }
            last = now;
            let actions = self.random.with(|rng| self.membership().tick(now, rng));
            self.act_membership(actions);
        }
    }

    /// Reads the platform's list and keeps this VM's entry in it.
    pub async fn run_list(self: &Arc<Self>) {
        let mut ticks = every(LIST_TICK);
        let mut announced = false;
        loop {
            ticks.tick().await;
            if !announced && !self.flags.stopping() {
                announced = self.platform.vms.announce(&self.me).await.is_ok();
            }
            match self.platform.vms.list().await {
                Ok(list) => {
                    let now = self.now();
                    let actions = self.membership().merge_list(now, &list);
                    self.act_membership(actions);
                }
                Err(error) => telemetry::event!(VM_LIST_UNREAD, error = error.to_string()),
            }
        }
    }

    /// Ends the intervals of the organisations' shares, and tells when the configuration cannot be
    /// confirmed any more or is again.
    pub async fn run_meters(self: &Arc<Self>) {
        let mut ticks = every(METER_TICK);
        let mut stale = false;
        let mut ended = self.now();
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
            if now >= ended + SHARE_INTERVAL {
                ended = now;
                self.meters.end_interval(&self.lookup.load().config);
            }
        }
    }

    /// Runs the rate limiter.
    pub async fn run_limiter(self: &Arc<Self>) {
        let mut ticks = every(LIMITER_TICK);
        loop {
            ticks.tick().await;
            let actions = self.limiter().poll(self.now());
            self.act_limiter(actions);
        }
    }

    /// Runs the detectors and queues of the services that this VM is home of.
    pub async fn run_homes(self: &Arc<Self>) {
        let mut ticks = every(TICK);
        let mut idle = every(IDLE_TICK);
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

    /// Tells the homes of the other regions how many slots are free here.
    pub async fn run_reports(self: &Arc<Self>) {
        let mut ticks = every(REPORT_TICK);
        loop {
            ticks.tick().await;
            let view = self.view.load_full();
            for (id, home) in self.engine().map(|e| e.schedulers()).unwrap_or_default() {
                let homes = view.service_homes(&id);
                if !homes.contains(&self.me.incarnation) {
                    continue;
                }
                let (usable, used, waiting) = home.load();
                let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
                let free = usable.saturating_sub(used).saturating_sub(waiting);
                for vm in homes.iter().filter(|i| **i != self.me.incarnation) {
                    if let Some(vm) = view.vm(*vm) {
                        self.send(vm.peers, vec![Message::FreeSlots(id.clone(), free)]);
                    }
                }
            }
        }
    }

    /// Leaves the entry responses and the platform's list.
    pub async fn leave(self: &Arc<Self>) {
        self.flags.stop();
        self.membership().leave();
        self.refresh_view();
        let mut entry = self.me.clone();
        entry.state = VmState::Leaving;
        if let Err(error) = self.platform.vms.announce(&entry).await {
            telemetry::event!(VM_LIST_UNREAD, error = error.to_string());
        }
    }
}
