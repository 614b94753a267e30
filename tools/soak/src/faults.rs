use std::time::{Duration, Instant};

use harness::GatewayFleet;
use rand::Rng;
use rand::rngs::SmallRng;
use standins::gateway_backend::{BackendMode, GatewayBackend};
use standins::gateway_store::StoreMode;

use crate::proxy::{LinkMode, Proxy};
use crate::traffic::{SharedObservations, lock};

/// Failure domains to which VMs and backend servers are assigned in turn.
pub const DOMAINS: [&str; 4] = ["a1", "a2", "b1", "b2"];
/// Names of the faults, as reported. One is drawn at random each time.
const FAULTS: [&str; 15] = [
    "kill",
    "pause",
    "term",
    "term",
    "term-some",
    "term-domain",
    "rolling",
    "hup",
    "hup-series",
    "kill-all",
    "store",
    "compact",
    "line",
    "manner",
    "configure",
];
/// Planned work, which excuses no request that is lost.
const PLANNED_WORK: [&str; 7] =
    ["term", "term-some", "term-domain", "rolling", "hup", "hup-series", "configure"];
/// Numbers of the signals that a gateway handles.
const SIGHUP: u32 = 1;
const SIGTERM: u32 = 15;
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

/// Planned work on a VM or on all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlannedStep {
    /// SIGTERM.
    Stop(usize),
    /// SIGHUP after a change of the settings file.
    Reload(usize),
    /// Another configuration.
    Configure,
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
    /// Planned work that is due at a time.
    pub planned: Vec<(Instant, PlannedStep)>,
    /// Whether responses of each backend server were lost or spoiled, by its link or itself.
    pub disturbed: Vec<bool>,
    /// When all VMs were killed at once.
    pub killed_all: Vec<Instant>,
    /// Where kills, pauses and stops are recorded.
    pub observed: SharedObservations,
}

impl SoakFleet {
    /// Writes the entries of the backend servers as these do themselves.
    pub fn register_backends(&self) {
        for (number, proxy) in (0..).zip(&self.proxies) {
            let domain = DOMAINS[usize::from(number) % DOMAINS.len()];
            self.fleet.register_backend(number, domain, proxy.address, "ready");
        }
    }

    fn restart(&mut self, vm: usize) -> anyhow::Result<()> {
        self.vm_processes[vm] = self.fleet.start(vm as u8, self.domains[vm])?;
        self.states[vm] = VmState::Running;
        Ok(())
    }

    fn kill(&mut self, vm: usize) -> anyhow::Result<()> {
        let start = Instant::now();
        self.fleet.processes[self.vm_processes[vm]].kill()?;
        self.disrupt(vm, start, start.elapsed());
        Ok(())
    }

    fn signal(&self, vm: usize, name: &str) -> anyhow::Result<()> {
        self.fleet.processes[self.vm_processes[vm]].signal(name)
    }

    fn disrupt(&self, vm: usize, from: Instant, duration: Duration) {
        let address = self.fleet.caller_address(vm as u8);
        lock(&self.observed).disrupted.push((address, from, from + duration));
    }

    /// Asks a running VM to stop; it is started again by `advance` once it has ended. Does nothing
    /// if it has just started and would be ended by the signal.
    fn stop(&mut self, vm: usize) -> anyhow::Result<()> {
        if self.states[vm] == VmState::Running && self.handles_signal(vm, SIGTERM) {
            let now = Instant::now();
            self.states[vm] = VmState::Stopping(now);
            let address = self.fleet.caller_address(vm as u8);
            lock(&self.observed).stopped.push((address, now));
            self.signal(vm, "TERM")?;
        }
        Ok(())
    }

    fn handles_signal(&self, vm: usize, number: u32) -> bool {
        self.fleet.processes[self.vm_processes[vm]].handles_signal(number)
    }

    /// Changes the settings file of a VM and sends SIGHUP, also while the VM is stopping.
    fn reload(&mut self, vm: usize, random: &mut SmallRng) -> anyhow::Result<()> {
        if self.handles_signal(vm, SIGHUP) {
            self.fleet.memory_mb = random.random_range(150..200);
            self.fleet.write_settings(vm as u8, self.domains[vm])?;
            let address = self.fleet.caller_address(vm as u8);
            lock(&self.observed).reloaded.push((address, Instant::now()));
            self.signal(vm, "HUP")?;
        }
        Ok(())
    }

    /// Writes another configuration, in which the routes in use are the same.
    fn configure(&mut self, random: &mut SmallRng) {
        self.fleet.extra_routes = random.random_range(0..4);
        self.fleet.idle_timeout = Duration::from_millis(random.random_range(2000..20_000));
        self.fleet.max_body_bytes = random.random_range(1000..4000);
        self.fleet.max_header_bytes = random.random_range(8192..=16_384);
        self.fleet.write_config(&[harness::GATEWAY_KEY]);
    }

    fn plan(&mut self, delay_ms: u64, step: PlannedStep) {
        self.planned.push((Instant::now() + Duration::from_millis(delay_ms), step));
    }

    /// Plans stops of VMs in turn, with reloads and configurations in between. A part of the
    /// reloads comes right after the SIGTERM of the same VM.
    fn plan_stops(&mut self, random: &mut SmallRng, vms: &[usize], interval_ms: u64) {
        for (number, vm) in (0_u64..).zip(vms) {
            let at = number * interval_ms;
            self.plan(at, PlannedStep::Stop(*vm));
            if random.random_bool(0.4) {
                self.plan(at + random.random_range(0..30), PlannedStep::Reload(*vm));
            }
            if random.random_bool(0.3) {
                self.plan(at + random.random_range(0..3000), PlannedStep::Reload(*vm));
            }
            if random.random_bool(0.3) {
                self.plan(at + random.random_range(0..1000), PlannedStep::Configure);
            }
        }
    }

    /// Does the planned work that is due.
    fn do_planned_work(&mut self, random: &mut SmallRng) -> anyhow::Result<()> {
        let now = Instant::now();
        let (due, later) = self.planned.drain(..).partition(|(at, _)| *at <= now);
        self.planned = later;
        let mut due: Vec<_> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, step) in due {
            match step {
                PlannedStep::Stop(vm) => self.stop(vm)?,
                PlannedStep::Reload(vm) => self.reload(vm, random)?,
                PlannedStep::Configure => self.configure(random),
            }
        }
        Ok(())
    }

    /// Does planned work that is due, resumes VMs whose pause is over, and starts stopped ones
    /// again. Returns whether all run.
    pub fn advance(&mut self, random: &mut SmallRng) -> anyhow::Result<bool> {
        self.do_planned_work(random)?;
        for vm in 0..self.states.len() {
            match self.states[vm] {
                VmState::Running => {
                    let result = self.fleet.processes[self.vm_processes[vm]].result()?;
                    if let Some(success) = result {
                        let message = format!("vm-{vm}: ended by itself, success: {success}");
                        lock(&self.observed).violations.push(message);
                        self.restart(vm)?;
                    }
                }
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
        self.planned.clear();
        self.fleet.store.set_mode(StoreMode::Normal);
        self.backends.iter().for_each(|backend| backend.set_mode(BackendMode::Normal));
        self.proxies.iter().for_each(|proxy| proxy.set_mode(LinkMode::Normal));
    }

    fn vms_of_domain(&self, domain: &str) -> Vec<usize> {
        (0..self.domains.len()).filter(|vm| self.domains[*vm] == domain).collect()
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
            "term-domain" => {
                let vms = self.vms_of_domain(self.domains[vm]);
                self.plan_stops(random, &vms, 0);
            }
            "rolling" => {
                let mut vms = self.vms_of_domain(self.domains[vm]);
                if random.random_bool(0.3) {
                    vms = (0..self.states.len()).collect();
                }
                let interval_ms = random.random_range(20..400);
                self.plan_stops(random, &vms, interval_ms);
            }
            "hup" => self.reload(vm, random)?,
            "hup-series" => {
                let interval_ms = random.random_range(1..200);
                for number in 0..random.random_range(3..12) {
                    // One VM several times, or several VMs.
                    let other = random.random_range(0..self.states.len());
                    let vm = if random.random_bool(0.5) { vm } else { other };
                    self.plan(number * interval_ms, PlannedStep::Reload(vm));
                }
            }
            "kill-all" => {
                self.killed_all.push(Instant::now());
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
                self.disturbed[backend] = true;
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
                self.disturbed[backend] = true;
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
            _ => self.configure(random),
        }
        Ok(fault)
    }
}
