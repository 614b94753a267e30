use std::time::{Duration, Instant};

use harness::GatewayFleet;
use rand::Rng;
use rand::rngs::SmallRng;
use standins::gateway_backend::{BackendMode, GatewayBackend};
use standins::gateway_store::StoreMode;

use crate::proxy::{LinkMode, Proxy};
use crate::traffic::{SharedObservations, lock};

/// Names of the faults, as reported. One is drawn at random each time.
const FAULTS: [&str; 11] = [
    "kill",
    "pause",
    "term",
    "term",
    "term-some",
    "kill-all",
    "store",
    "compact",
    "line",
    "manner",
    "configure",
];
/// Planned work, which excuses no request that is lost.
const PLANNED_WORK: [&str; 3] = ["term", "term-some", "configure"];
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// Time after the end of a pause in which the VM may still be catching up.
const PAUSE_RECOVERY: Duration = Duration::from_millis(500);

/// What a VM goes through at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// It runs.
    Running,
    /// It is paused until this time.
    Paused(Instant),
    /// It was asked to stop at this time.
    Stopping(Instant),
}

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
    /// State of each VM. Only a running one is paused or asked to stop.
    pub states: Vec<VmState>,
    /// Where kills and pauses are recorded.
    pub observed: SharedObservations,
}

impl SoakFleet {
    fn restart(&mut self, vm: usize) -> anyhow::Result<()> {
        self.vm_processes[vm] = self.fleet.start(vm as u8, self.domains[vm])?;
        self.states[vm] = VmState::Running;
        Ok(())
    }

    fn kill(&mut self, vm: usize) -> anyhow::Result<()> {
        self.disrupt(vm, Instant::now(), Duration::ZERO);
        self.fleet.processes[self.vm_processes[vm]].kill()
    }

    fn signal(&self, vm: usize, name: &str) -> anyhow::Result<()> {
        self.fleet.processes[self.vm_processes[vm]].signal(name)
    }

    fn disrupt(&self, vm: usize, from: Instant, duration: Duration) {
        let address = self.fleet.caller_address(vm as u8);
        lock(&self.observed).disrupted.push((address, from, from + duration));
    }

    /// Asks a running VM to stop; it is started again by `advance` once it has ended.
    fn stop(&mut self, vm: usize) -> anyhow::Result<()> {
        if self.states[vm] == VmState::Running {
            self.states[vm] = VmState::Stopping(Instant::now());
            self.signal(vm, "TERM")?;
        }
        Ok(())
    }

    /// Resumes VMs whose pause is over, and starts stopped ones again. Returns whether all run.
    pub fn advance(&mut self) -> anyhow::Result<bool> {
        for vm in 0..self.states.len() {
            match self.states[vm] {
                VmState::Running => {}
                VmState::Paused(until) if Instant::now() >= until => {
                    self.signal(vm, "CONT")?;
                    self.states[vm] = VmState::Running;
                }
                VmState::Paused(_) => {}
                VmState::Stopping(since) => {
                    let result = self.fleet.processes[self.vm_processes[vm]].result()?;
                    if result.is_none() && since.elapsed() < GRACE {
                        continue;
                    }
                    if result != Some(true) {
                        let message = format!("vm-{vm}: ended with {result:?} in a planned stop");
                        lock(&self.observed).violations.push(message);
                        self.kill(vm)?;
                    }
                    self.restart(vm)?;
                }
            }
        }
        Ok(self.states.iter().all(|state| *state == VmState::Running))
    }

    /// Ends all lasting faults.
    pub fn clear_faults(&mut self) {
        self.fleet.store.set_mode(StoreMode::Normal);
        self.backends.iter().for_each(|backend| backend.set_mode(BackendMode::Normal));
        self.proxies.iter().for_each(|proxy| proxy.set_mode(LinkMode::Normal));
    }

    /// Injects one random fault, or does one piece of planned work; returns its name.
    pub fn inject_random_fault(
        &mut self,
        random: &mut SmallRng,
        planned_only: bool,
    ) -> anyhow::Result<&'static str> {
        let faults: &[&'static str] = if planned_only { &PLANNED_WORK } else { &FAULTS };
        let fault = faults[random.random_range(0..faults.len())];
        let vm = random.random_range(0..self.vm_processes.len());
        let backend = random.random_range(0..self.backends.len());
        match fault {
            "kill" => {
                self.kill(vm)?;
                self.restart(vm)?;
            }
            "pause" => {
                if self.states[vm] == VmState::Running {
                    let pause = Duration::from_millis(random.random_range(200..2500));
                    self.disrupt(vm, Instant::now(), pause + PAUSE_RECOVERY);
                    self.signal(vm, "STOP")?;
                    self.states[vm] = VmState::Paused(Instant::now() + pause);
                }
            }
            "term" => self.stop(vm)?,
            "term-some" => {
                for vm in 0..self.states.len() {
                    if random.random_bool(0.4) {
                        self.stop(vm)?;
                    }
                }
            }
            "kill-all" => {
                for vm in 0..self.vm_processes.len() {
                    self.kill(vm)?;
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
