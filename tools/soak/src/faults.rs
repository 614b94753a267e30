use std::time::Duration;

use harness::GatewayFleet;
use rand::Rng;
use rand::rngs::SmallRng;
use standins::gateway_backend::{BackendMode, GatewayBackend};
use standins::gateway_store::StoreMode;

use crate::proxy::{LinkMode, Proxy};

/// Names of the faults, as reported. One is drawn at random each time.
const FAULTS: [&str; 9] =
    ["kill", "pause", "term", "kill-all", "store", "compact", "line", "manner", "configure"];

/// Gateways, backend servers and proxies under test.
pub struct SoakFleet {
    /// Gateway processes and the store.
    pub fleet: GatewayFleet,
    /// Backend servers.
    pub backends: Vec<GatewayBackend>,
    /// Proxies in front of the backend servers, in the same order.
    pub proxies: Vec<Proxy>,
    /// Failure domain of each VM.
    pub domains: Vec<&'static str>,
    /// Index of the current process of each VM.
    pub vm_processes: Vec<usize>,
}

impl SoakFleet {
    fn restart(&mut self, vm: usize) -> anyhow::Result<()> {
        self.vm_processes[vm] = self.fleet.start(vm as u8, self.domains[vm])?;
        Ok(())
    }

    /// Ends all lasting faults.
    pub fn clear_faults(&mut self) {
        self.fleet.store.set_mode(StoreMode::Normal);
        self.backends.iter().for_each(|backend| backend.set_mode(BackendMode::Normal));
        self.proxies.iter().for_each(|proxy| proxy.set_mode(LinkMode::Normal));
    }

    /// Injects one random fault; returns its name.
    pub async fn inject_random_fault(
        &mut self,
        random: &mut SmallRng,
    ) -> anyhow::Result<&'static str> {
        let fault = FAULTS[random.random_range(0..FAULTS.len())];
        let vm = random.random_range(0..self.vm_processes.len());
        let backend = random.random_range(0..self.backends.len());
        match fault {
            "kill" => {
                self.fleet.processes[self.vm_processes[vm]].kill()?;
                self.restart(vm)?;
            }
            "pause" => {
                let process = &self.fleet.processes[self.vm_processes[vm]];
                process.signal("STOP")?;
                tokio::time::sleep(Duration::from_millis(random.random_range(200..2500))).await;
                process.signal("CONT")?;
            }
            "term" => {
                let process = &mut self.fleet.processes[self.vm_processes[vm]];
                process.signal("TERM")?;
                if !process.wait(Duration::from_secs(8)).await? {
                    anyhow::bail!("VM {vm} ended with an error after SIGTERM");
                }
                self.restart(vm)?;
            }
            "kill-all" => {
                for vm in 0..self.vm_processes.len() {
                    self.fleet.processes[self.vm_processes[vm]].kill()?;
                }
                for vm in 0..self.vm_processes.len() {
                    self.restart(vm)?;
                }
            }
            "store" => {
                let modes = [StoreMode::Normal, StoreMode::Unavailable, StoreMode::Unresponsive];
                self.fleet.store.set_mode(modes[random.random_range(0..modes.len())]);
            }
            "compact" => self.fleet.store.compact(),
            "line" => {
                let modes = [
                    LinkMode::Normal,
                    LinkMode::Slow,
                    LinkMode::DropResponses,
                    LinkMode::DropAll,
                    LinkMode::Reset,
                ];
                self.proxies[backend].set_mode(modes[random.random_range(0..modes.len())]);
            }
            "manner" => {
                let modes = [
                    BackendMode::Normal,
                    BackendMode::Failing,
                    BackendMode::Shedding,
                    BackendMode::Hanging,
                    BackendMode::LosingResponses,
                    BackendMode::WrongRequestId,
                    BackendMode::NoRequestId,
                    BackendMode::MisleadingStatus,
                    BackendMode::Pausing,
                ];
                self.backends[backend].set_mode(modes[random.random_range(0..modes.len())]);
            }
            _ => {
                self.fleet.write_config(&[harness::GATEWAY_KEY]);
            }
        }
        Ok(fault)
    }
}
