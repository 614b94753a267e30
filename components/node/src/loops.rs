use std::sync::Arc;

use kernel::VmState;
use kernel::prelude::*;
use tokio::time::{MissedTickBehavior, interval};

use crate::shared::Shared;

/// Period of the failure detector and of the homes.
const TICK: Duration = Duration::from_millis(50);
/// Period of the rate limiter.
const LIMITER_TICK: Duration = Duration::from_millis(20);
/// Period of the reads of the platform's list. It lags by minutes, so that a faster one finds
/// little more.
const LIST_TICK: Duration = Duration::from_secs(5);
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
        loop {
            ticks.tick().await;
            let now = self.now();
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
                    let actions = self.membership().seed(now, &list);
                    self.act_membership(actions);
                }
                Err(error) => log::debug!("the list of VMs cannot be read: {error}"),
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
                    for (_, home) in self.engine().map(|e| e.homes()).unwrap_or_default() {
                        home.tick();
                    }
                }
                _ = idle.tick() => {
                    for (_, home) in self.engine().map(|e| e.homes()).unwrap_or_default() {
                        home.close_idle();
                        home.ask_leaving();
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
            log::debug!("the platform's list was not told that this VM leaves: {error}");
        }
    }
}
