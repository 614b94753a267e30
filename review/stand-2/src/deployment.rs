use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::Context;
use harness::{GATEWAY_HOST, GatewayFleet};
use serde_json::{Value, json};
use standins::wire;

/// API key of the only organisation.
pub const KEY: &str = "key-north";
/// Service of all routes.
const SERVICE: &str = "scripts";
/// File that says how the program is started.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// Variable with the path of the platform's settings file.
const SETTINGS_VARIABLE: &str = "PAPAYAREEL_NODE_FILE";

/// A route of the configuration.
pub struct RouteSpec {
    /// Path prefix.
    pub prefix: &'static str,
    /// `safe` or `unsafe`.
    pub kind: &'static str,
    /// Timeout in milliseconds.
    pub timeout_ms: u32,
    /// Latency objective in milliseconds.
    pub objective_ms: u32,
}

/// A small deployment: the store, and gateway processes started with the command of the deploy file.
pub struct Deployment {
    /// Store and settings files. It starts no process here.
    pub fleet: GatewayFleet,
    root: PathBuf,
    processes: Vec<Child>,
    version: u64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // It may have ended already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Command of the role in the deploy file, as words.
fn run_command(root: &Path) -> anyhow::Result<Vec<String>> {
    let text = std::fs::read_to_string(root.join(DEPLOY_FILE)).context("no deploy file")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = "));
    let line = line.context("the deploy file has no command")?;
    Ok(line.trim_matches('"').split(' ').map(str::to_owned).collect())
}

impl Deployment {
    /// Starts a store without gateways. `root` is the root of the repository.
    pub async fn new(root: &Path) -> anyhow::Result<Deployment> {
        let command = run_command(root)?;
        let program = root.join(command.first().context("the command is empty")?);
        anyhow::ensure!(program.exists(), "{} is not built", program.display());
        let fleet = GatewayFleet::new(program).await?;
        Ok(Deployment { fleet, root: root.to_owned(), processes: Vec::new(), version: 1 })
    }

    /// Starts a gateway; `vm` selects its address. Returns its process id.
    pub fn start(&mut self, vm: u8, domain: &str) -> anyhow::Result<u32> {
        let settings = self.fleet.write_settings(vm, domain)?;
        let log = self.fleet.log_folder().join(format!("vm-{vm}.log"));
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        let command = run_command(&self.root)?;
        let process = Command::new(self.root.join(&command[0]))
            .args(&command[1..])
            .current_dir(&self.root)
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .context("cannot start a gateway")?;
        let id = process.id();
        self.processes.push(process);
        Ok(id)
    }

    /// Writes the next version of the configuration as the operator does; returns the version.
    pub fn write_config(&mut self, routes: &[RouteSpec]) -> u64 {
        self.version += 3;
        let mut resources: Vec<Value> = routes
            .iter()
            .map(|route| {
                json!({"resource_type": "routes",
                    "metadata": {"name": format!("r-{}", route.prefix.trim_matches('/'))},
                    "spec": {"host": GATEWAY_HOST, "prefix": route.prefix, "kind": route.kind,
                        "timeout_ms": route.timeout_ms, "latency_objective_ms": route.objective_ms,
                        "priority": 1, "service": SERVICE, "max_attempts": 2, "public": false}})
            })
            .collect();
        resources.extend([
            json!({"resource_type": "services", "metadata": {"name": SERVICE}, "spec": {
                "health_check_path": "/health", "max_connections": 390}}),
            json!({"resource_type": "tenants", "metadata": {"name": "north"}, "spec": {
                "api_keys": [KEY], "rate_per_s": 200, "burst": 200}}),
            json!({"resource_type": "limits", "metadata": {}, "spec": {
                "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15_000}}),
        ]);
        let config = json!({"version": format!("r{}", self.version), "resources": resources});
        self.fleet.store.put("op", "config", &config);
        self.version
    }

    /// Writes the entry of a backend server that is reached at `address`, started at `born`.
    pub fn register(&self, id: &str, domain: &str, address: SocketAddr, born: u64, sequence: u64) {
        let mut entry = wire::backend_entry(SERVICE, address, domain, "ready", sequence);
        entry["born"] = json!(born);
        self.fleet.store.put("servers", id, &entry);
    }

    /// Log of a gateway.
    pub fn log(&self, vm: u8) -> String {
        self.fleet.log(vm)
    }
}
