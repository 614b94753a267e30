use std::time::Duration;

use harness::GatewayFleet;
use rand::Rng;
use rand::rngs::SmallRng;
use standins::gateway_backend::{BackendMode, GatewayBackend};
use standins::gateway_store::StoreMode;

use crate::proxy::{Line, Proxy};

/// Faults that the soak draws from.
const FAULTS: [&str; 9] =
    ["kill", "pause", "term", "kill-all", "store", "compact", "line", "manner", "configure"];

/// What faults act on.
pub struct Stage {
    /// Gateways and the store.
    pub fleet: GatewayFleet,
    /// Backend servers.
    pub targets: Vec<GatewayBackend>,
    /// Proxies before them.
    pub proxies: Vec<Proxy>,
    /// Failure domain of each VM.
    pub domains: Vec<&'static str>,
    /// Process of each VM.
    pub running: Vec<usize>,
}

impl Stage {
    fn restart(&mut self, vm: usize) -> anyhow::Result<()> {
        self.running[vm] = self.fleet.start(vm as u8, self.domains[vm])?;
        Ok(())
    }

    /// Ends every fault that lasts.
    pub fn heal(&mut self) {
        self.fleet.store.set_mode(StoreMode::Normal);
        self.targets.iter().for_each(|target| target.set_mode(BackendMode::Normal));
        self.proxies.iter().for_each(|proxy| proxy.set(Line::Sound));
    }

    /// Plays one random fault; returns its name.
    pub async fn play(&mut self, random: &mut SmallRng) -> anyhow::Result<&'static str> {
        let fault = FAULTS[random.random_range(0..FAULTS.len())];
        let vm = random.random_range(0..self.running.len());
        let target = random.random_range(0..self.targets.len());
        match fault {
            "kill" => {
                self.fleet.processes[self.running[vm]].kill()?;
                self.restart(vm)?;
            }
            "pause" => {
                let process = &self.fleet.processes[self.running[vm]];
                process.signal("STOP")?;
                tokio::time::sleep(Duration::from_millis(random.random_range(200..2500))).await;
                process.signal("CONT")?;
            }
            "term" => {
                let process = &mut self.fleet.processes[self.running[vm]];
                process.signal("TERM")?;
                if !process.wait(Duration::from_secs(8)).await? {
                    anyhow::bail!("a VM ended with an error after SIGTERM");
                }
                self.restart(vm)?;
            }
            "kill-all" => {
                for vm in 0..self.running.len() {
                    self.fleet.processes[self.running[vm]].kill()?;
                }
                for vm in 0..self.running.len() {
                    self.restart(vm)?;
                }
            }
            "store" => {
                let moods = [StoreMode::Normal, StoreMode::Unavailable, StoreMode::Unresponsive];
                self.fleet.store.set_mode(moods[random.random_range(0..moods.len())]);
            }
            "compact" => self.fleet.store.compact(),
            "line" => {
                let lines = [Line::Sound, Line::Slow, Line::OneWay, Line::Silent, Line::Reset];
                self.proxies[target].set(lines[random.random_range(0..lines.len())]);
            }
            "manner" => {
                let manners = [
                    BackendMode::Normal,
                    BackendMode::Failing,
                    BackendMode::Shedding,
                    BackendMode::Hanging,
                    BackendMode::LosingResponses,
                    BackendMode::WrongRequestId,
                ];
                self.targets[target].set_mode(manners[random.random_range(0..manners.len())]);
            }
            _ => {
                self.fleet.write_config(&[harness::GATEWAY_KEY]);
            }
        }
        Ok(fault)
    }
}
