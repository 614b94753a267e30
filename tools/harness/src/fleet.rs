use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use config::{Change, ChangeSet};
use http::Method;
use kernel::prelude::*;
use kernel::{BackendLimits, BackendSpec};
use operator::Client;
use serde_json::{Value, json};
use standins::raw_backend::{RawBackend, Script};
use tokio::net::TcpListener;

use crate::caller::{HttpResponse, send_request};
use crate::layout::FleetLayout;
use crate::loopback_net::LoopbackNet;
use crate::process::Process;
use crate::programs::Programs;
use crate::sample_config::sample_layout;

/// Token for the operator interface of every VM.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-harness";
/// Time limit for the start of a fleet; generous for slow machines.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// A running fleet with its platform and backend servers, on loopback.
pub struct Fleet {
    net: LoopbackNet,
    dir: PathBuf,
    programs: Programs,
    layout: FleetLayout,
    /// Platform stand-in.
    pub platform: Process,
    /// Backend servers, in the order of the layout.
    pub backends: Vec<Process>,
    /// VMs, in the order of the layout; `None` for a VM that a test has taken.
    pub vms: Vec<Option<Process>>,
    change_count: AtomicU32,
}

impl Fleet {
    /// Starts the processes and waits until every VM responds.
    pub async fn start(programs: Programs, layout: FleetLayout) -> anyhow::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("papayareel-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)
            .with_context(|| format!("cannot create {}", dir.display()))?;
        let net = LoopbackNet::new();
        let (listen, control) = (net.address(250, 7000), net.address(250, 7001));
        let args = ["platform", "--listen", &listen.to_string(), "--control", &control.to_string()]
            .map(Into::into);
        let platform =
            Process::start("platform", &programs.standins, &args, &dir.join("platform.log"))?;
        let mut fleet = Fleet {
            net,
            dir,
            programs,
            layout,
            platform,
            backends: Vec::new(),
            vms: Vec::new(),
            change_count: AtomicU32::new(0),
        };
        for i in 0..fleet.layout.backends.len() {
            let backend = fleet.start_backend(i)?;
            fleet.backends.push(backend);
        }
        fleet.wait_until_reachable(fleet.platform_address(), "/vms").await?;
        for i in 0..fleet.backends.len() {
            fleet.wait_until_reachable(fleet.backend_address(i), "/healthz").await?;
        }
        for i in 0..fleet.layout.vms.len() {
            let vm = fleet.start_vm(i)?;
            fleet.vms.push(Some(vm));
        }
        for i in 0..fleet.vms.len() {
            fleet.wait_until_reachable(fleet.caller_address(i), "/").await?;
        }
        Ok(fleet)
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> SocketAddr {
        self.net.address(250, 7000)
    }

    /// Returns the control address of the platform, which also works while the platform refuses
    /// connections.
    pub fn platform_control_address(&self) -> SocketAddr {
        self.net.address(250, 7001)
    }

    /// Returns the address of a VM for callers.
    pub fn caller_address(&self, vm: usize) -> SocketAddr {
        self.net.address(vm as u8 + 1, 8001)
    }

    /// Returns the address of a VM for operators.
    pub fn operator_address(&self, vm: usize) -> SocketAddr {
        self.net.address(vm as u8 + 1, 8003)
    }

    /// Returns the address of a VM for metrics.
    pub fn admin_address(&self, vm: usize) -> SocketAddr {
        self.net.address(vm as u8 + 1, 8004)
    }

    /// Returns the address of a backend server.
    pub fn backend_address(&self, backend: usize) -> SocketAddr {
        self.net.address(backend as u8 + 100, 9000)
    }

    /// Returns the control address of a backend server, which also works while the server refuses
    /// connections.
    pub fn backend_control_address(&self, backend: usize) -> SocketAddr {
        self.net.address(backend as u8 + 100, 9001)
    }

    /// Replaces a backend server by one that sends the bytes of a script.
    pub async fn replace_backend(
        &mut self,
        i: usize,
        script: Script,
    ) -> anyhow::Result<RawBackend> {
        self.backends[i].kill()?;
        let listener = TcpListener::bind(self.backend_address(i)).await?;
        Ok(RawBackend::serve(listener, script)?)
    }

    /// Returns the folder of the settings and logs.
    pub fn dir(&self) -> &PathBuf {
        &self.dir
    }

    fn start_backend(&self, i: usize) -> anyhow::Result<Process> {
        let layout = &self.layout.backends[i];
        let args = [
            "backend".to_owned(),
            format!("--listen={}", self.backend_address(i)),
            format!("--control={}", self.backend_control_address(i)),
            format!("--id=b{i}"),
            format!("--slots={}", layout.slots),
            format!("--median-ms={}", self.layout.median_time.as_millis()),
            format!("--p99-ms={}", self.layout.p99_time.as_millis()),
            format!("--seed={}", i + 1),
        ];
        let args: Vec<OsString> =
            args.iter().flat_map(|a| a.split('=')).map(OsString::from).collect();
        let log = self.dir.join(format!("backend-{i}.log"));
        Process::start(&format!("backend server {i}"), &self.programs.standins, &args, &log)
    }

    /// Writes the settings of VM `i` and starts it.
    pub fn start_vm(&self, i: usize) -> anyhow::Result<Process> {
        let place = &self.layout.vms[i].place;
        let mut settings = json!({
            "vm": format!("vm-{i}"),
            "place": {"region": place.region, "domain": place.domain},
            "listen": {
                "callers": self.caller_address(i).to_string(),
                "peers": self.net.address(i as u8 + 1, 8002).to_string(),
                "operators": self.operator_address(i).to_string(),
                "admin": self.admin_address(i).to_string(),
            },
            "platform": {"address": self.platform_address().to_string()},
            "secrets": {"fleet": "fleet-secret-of-the-harness", "operator_tokens": [OPERATOR_TOKEN]},
            "session": {"lease_s": self.layout.session_lease.as_secs()},
            "entry": {"ttl_ms": 1000},
            "log": {"format": "text", "level": "info"},
        });
        merge_json(&mut settings, &self.layout.settings);
        let file = self.dir.join(format!("vm-{i}.json"));
        std::fs::write(&file, settings.to_string())
            .with_context(|| format!("cannot write {}", file.display()))?;
        let log = self.dir.join(format!("vm-{i}.log"));
        Process::start(&format!("VM {i}"), &self.programs.daemon, &[file.into()], &log)
    }

    /// Waits until an address responds to a request, with any status.
    pub async fn wait_until_reachable(
        &self,
        address: SocketAddr,
        target: &str,
    ) -> anyhow::Result<()> {
        let start = Instant::now();
        while send_request(address, &Method::GET, target, &[], "").await.is_err() {
            if start.elapsed() > START_TIMEOUT {
                bail!("{address} does not respond; see the logs in {}", self.dir.display());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Sets fault switches of the platform or of a backend server by `POST /control`.
    pub async fn control(
        &self,
        address: SocketAddr,
        switches: Value,
    ) -> anyhow::Result<HttpResponse> {
        send_request(address, &Method::POST, "/control", &[], switches.to_string()).await
    }

    /// Connects to the operator interface of a VM.
    pub async fn operator(&self, vm: usize) -> anyhow::Result<Client> {
        Ok(Client::connect(self.operator_address(vm), OPERATOR_TOKEN).await?)
    }

    /// Applies changes through a VM, based on the newest version that it knows. Retries until the
    /// start timeout.
    pub async fn apply(&self, vm: usize, changes: Vec<Change>) -> anyhow::Result<ConfigVersion> {
        let start = Instant::now();
        loop {
            let number = self.change_count.fetch_add(1, Ordering::Relaxed);
            let mut client = self.operator(vm).await?;
            let base_version = client.config().await?.version;
            let change_id = format!("harness-{}-{number}", std::process::id()).into();
            let set = ChangeSet { change_id, base_version, changes: changes.clone() };
            match client.apply(&set).await {
                Ok(applied) => return Ok(applied.version),
                // After the start, VMs need a few seconds to discover each other.
                Err(error) if start.elapsed() > START_TIMEOUT => return Err(error.into()),
                Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
            }
        }
    }

    /// Waits until the version is active on every running VM.
    pub async fn wait_for_version(&self, version: ConfigVersion) -> anyhow::Result<()> {
        let start = Instant::now();
        for vm in (0..self.vms.len()).filter(|i| self.vms[*i].is_some()) {
            while self.operator(vm).await?.config().await?.version < version {
                if start.elapsed() > START_TIMEOUT {
                    bail!("VM {vm} did not reach version {version} in time");
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the configuration of the backend servers of a service.
    pub fn backend_specs(&self, service: &str) -> Vec<BackendSpec> {
        let all = self.layout.backends.iter().enumerate().filter(|(_, b)| &*b.service == service);
        all.map(|(i, b)| BackendSpec {
            id: format!("b{i}").into(),
            address: self.backend_address(i),
            place: b.place.clone(),
            limits: BackendLimits { slots: b.slots, connections: 400 },
            draining: false,
        })
        .collect()
    }
}

/// Starts two VMs of the program at this path, with the sample configuration and backend servers that
/// send the bytes of a script.
pub async fn raw_fleet(daemon: &str, script: Script) -> anyhow::Result<(Fleet, Vec<RawBackend>)> {
    let mut fleet = Fleet::start(Programs::next_to(daemon)?, sample_layout(2)).await?;
    fleet.apply_sample_config().await?;
    let mut backends = Vec::new();
    for i in 0..fleet.backends.len() {
        backends.push(fleet.replace_backend(i, Arc::clone(&script)).await?);
    }
    Ok((fleet, backends))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Logs of a failed test are kept for diagnosis.
        if !std::thread::panicking() && std::env::var_os("PAPAYAREEL_KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn merge_json(into: &mut Value, from: &Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (key, value) in from {
                merge_json(into.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (into, from) => *into = from.clone(),
    }
}
