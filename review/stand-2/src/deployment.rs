use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::http::{Message, request};
use crate::store::Store;

/// Host of all routes.
const HOST: &str = "news.example";
/// API key of the only organisation.
const KEY: &str = "key-north";
/// Service of all routes.
const SERVICE: &str = "scripts";
/// File that says how the program is started.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// Variable with the path of the platform's settings file.
const SETTINGS_VARIABLE: &str = "PAPAYAREEL_NODE_FILE";
/// Ports of a gateway. Each gateway has a loopback address of its own.
const CALLER_PORT: u16 = 18_782;
const READINESS_PORT: u16 = 18_789;
const DIRECTORY_PORT: u16 = 18_780;
const CONTROL_PORT: u16 = 18_783;
const INTERNAL_PORTS: (u16, u16) = (17_340, 17_355);
/// Last byte of the address of gateway 0, and of backend server 0.
const FIRST_VM: u8 = 10;
const FIRST_SERVER: u8 = 100;
/// Time within which a gateway has to be ready.
const READY_TIME: Duration = Duration::from_secs(20);
/// Deadline that callers state, in milliseconds.
const DEADLINE_MS: &str = "4000";

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
    store: Store,
    root: PathBuf,
    /// Settings files and logs.
    folder: PathBuf,
    /// Second and third byte of the loopback addresses.
    net: (u8, u8),
    /// Running gateways, by the number that selects their address.
    processes: BTreeMap<u8, Child>,
    version: u64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            // It may have ended already.
            let _ = process.kill();
            let _ = process.wait();
        }
        // The folder is in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Command of the role in the deploy file, as words.
fn run_command(root: &Path) -> anyhow::Result<Vec<String>> {
    let text = std::fs::read_to_string(root.join(DEPLOY_FILE)).context("no deploy file")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = "));
    let line = line.context("the deploy file has no command")?;
    Ok(line.trim_matches('"').split(' ').map(str::to_owned).collect())
}

fn ip(net: (u8, u8), host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net.0, net.1, host)
}

/// A loopback network in which nobody uses the ports of the gateways.
fn free_net() -> anyhow::Result<(u8, u8)> {
    let pid = std::process::id();
    let is_free = |net: &(u8, u8)| {
        [CALLER_PORT, INTERNAL_PORTS.0].iter().all(|port| {
            (1..=16).all(|vm| TcpListener::bind((ip(*net, FIRST_VM + vm), *port)).is_ok())
        })
    };
    let nets = (0..200_u32).map(|n| (20 + ((pid + n) % 200) as u8, (pid / 200 % 200) as u8));
    nets.into_iter().find(is_free).context("no loopback network is free")
}

impl Deployment {
    /// Starts a store without gateways. `root` is the root of the repository.
    pub async fn new(root: &Path) -> anyhow::Result<Deployment> {
        let command = run_command(root)?;
        let program = root.join(command.first().context("the command is empty")?);
        anyhow::ensure!(program.exists(), "the program of the deploy file is not built");
        let folder = std::env::temp_dir().join(format!("papayareel-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).context("cannot create a folder")?;
        let net = free_net()?;
        let store = Store::serve((ip(net, 1), 0).into()).await?;
        let (root, processes) = (root.to_owned(), BTreeMap::new());
        Ok(Deployment { store, root, folder, net, processes, version: 1 })
    }

    /// Address of a gateway for callers.
    pub fn caller_address(&self, vm: u8) -> SocketAddr {
        (ip(self.net, FIRST_VM + vm), CALLER_PORT).into()
    }

    /// A free address for a backend server or for a link to it.
    pub fn server_address(&self, number: u8) -> anyhow::Result<SocketAddr> {
        let listener = TcpListener::bind((ip(self.net, FIRST_SERVER + number), 0))?;
        Ok(listener.local_addr()?)
    }

    /// Settings as the platform gives them to a gateway.
    fn settings(&self, vm: u8, domain: &str) -> Value {
        let ip = ip(self.net, FIRST_VM + vm);
        let region = if domain.starts_with('a') { "north" } else { "south" };
        json!({
            "node": format!("frontend-{domain}-{vm}"), "role": "gateway",
            "machine_class": "frontend", "serves": ["frontend", "control", "directory"],
            "ip": ip, "zone": domain, "region": region,
            "zones": {"a1": "north", "a2": "north", "b1": "south", "b2": "south"},
            "listen": {
                "frontend": format!("{ip}:{CALLER_PORT}"),
                "readiness": format!("{ip}:{READINESS_PORT}"),
                "control": format!("{ip}:{CONTROL_PORT}"),
                "directory": format!("{ip}:{DIRECTORY_PORT}"),
            },
            "internal_port_range": [INTERNAL_PORTS.0, INTERNAL_PORTS.1],
            "seeds": [format!("{}:{CONTROL_PORT}", self::ip(self.net, FIRST_VM + 1))],
            "bootstrap": true,
            "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "file_descriptors": 4100},
            "heartbeat_interval_ms": 1500,
            "bounds": {
                "contact_ms": 4000, "drain_timeout_ms": 2500, "grace_period_s": 6,
                "config_apply_ms": 2500, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                "retry_budget_slack": 58, "quota_window_s": 5, "quota_slack": 20, "ttl_max_s": 5,
                "floor_share": 0.7,
            },
            "platform": {
                "address": self.store.address(), "form": "table", "writes_per_s": 400,
                "reads_per_s": 2000,
            },
        })
    }

    /// Starts a gateway; `vm`, from 1 to 16, selects its address.
    pub fn start(&mut self, vm: u8, domain: &str) -> anyhow::Result<()> {
        let settings = self.folder.join(format!("vm-{vm}.json"));
        std::fs::write(&settings, self.settings(vm, domain).to_string())?;
        let log = std::fs::File::create(self.folder.join(format!("vm-{vm}.log")))?;
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
        self.processes.insert(vm, process);
        Ok(())
    }

    /// Kills a gateway with SIGKILL.
    pub fn kill(&mut self, vm: u8) -> anyhow::Result<()> {
        let mut process = self.processes.remove(&vm).context("the gateway does not run")?;
        process.kill().context("cannot kill a gateway")?;
        process.wait().context("cannot wait for a gateway")?;
        Ok(())
    }

    /// Waits until a gateway is ready and names an address for callers of its failure domain.
    pub async fn wait_until_ready(&self, vm: u8, domain: &str) -> anyhow::Result<SocketAddr> {
        let start = Instant::now();
        while start.elapsed() < READY_TIME {
            if self.is_ready(vm).await
                && let Some(address) = self.resolve(vm, domain).await
            {
                return Ok(address);
            }
            sleep(Duration::from_millis(50)).await;
        }
        anyhow::bail!("gateway {vm} is not ready in time")
    }

    async fn is_ready(&self, vm: u8) -> bool {
        let address = (ip(self.net, FIRST_VM + vm), READINESS_PORT).into();
        let answer = request(address, "GET", "/-/ready", &[], "").await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Asks a gateway for the address that callers of a failure domain shall use.
    pub async fn resolve(&self, vm: u8, domain: &str) -> Option<SocketAddr> {
        let address = (ip(self.net, FIRST_VM + vm), DIRECTORY_PORT).into();
        let target = format!("/-/resolve?name={HOST}&region=north&zone={domain}");
        let answer = request(address, "GET", &target, &[], "").await.ok()?;
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        body["addresses"][0].as_str()?.parse().ok()
    }

    /// Writes the next version of the configuration as the operator does. The only organisation may send
    /// `rate` requests a second, and a burst of as many.
    pub fn write_config(&mut self, routes: &[RouteSpec], rate: u32) {
        self.version += 3;
        let mut resources: Vec<Value> = routes
            .iter()
            .map(|route| {
                json!({"resource_type": "routes",
                    "metadata": {"name": format!("r-{}", route.prefix.trim_matches('/'))},
                    "spec": {"host": HOST, "prefix": route.prefix, "kind": route.kind,
                        "timeout_ms": route.timeout_ms, "latency_objective_ms": route.objective_ms,
                        "priority": 1, "service": SERVICE, "max_attempts": 2, "public": false}})
            })
            .collect();
        resources.extend([
            json!({"resource_type": "services", "metadata": {"name": SERVICE}, "spec": {
                "health_check_path": "/health", "max_connections": 390}}),
            json!({"resource_type": "tenants", "metadata": {"name": "north"}, "spec": {
                "api_keys": [KEY], "rate_per_s": rate, "burst": rate}}),
            json!({"resource_type": "limits", "metadata": {}, "spec": {
                "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15_000}}),
        ]);
        let config = json!({"version": format!("r{}", self.version), "resources": resources});
        self.store.put("op", "config", &config);
    }

    /// Writes the entry of a backend server that is reached at `address`, started at `born`.
    pub fn register(&self, id: &str, domain: &str, address: SocketAddr, born: u64, sequence: u64) {
        let entry = json!({
            "service": SERVICE, "address": address, "zone": domain, "version": "v1", "slots": 4,
            "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born,
        });
        self.store.put("servers", id, &entry);
    }
}

/// Sends a caller's request on a connection of its own.
pub async fn post(address: SocketAddr, path: &str, id: &str) -> std::io::Result<Message> {
    let key = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", DEADLINE_MS),
        ("Authorization", &*key),
    ];
    request(address, "POST", path, &headers, "text").await
}
