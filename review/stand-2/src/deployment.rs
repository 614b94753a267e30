use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::Result;
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
/// Pause between two checks whether it is.
const READY_PAUSE: Duration = Duration::from_millis(50);
/// Deadline that callers state, in milliseconds.
const DEADLINE_MS: &str = "4000";

/// The route of the configuration, which takes requests that may run only once.
pub struct Route {
    /// Path prefix.
    pub prefix: &'static str,
    /// Timeout in milliseconds.
    pub timeout_ms: u32,
    /// Latency objective in milliseconds.
    pub objective_ms: u32,
}

/// Addresses of a deployment: the second and third byte of its loopback network.
#[derive(Clone, Copy, Debug)]
pub struct Fleet(u8, u8);

impl Fleet {
    /// A loopback network in which nobody uses the ports of the gateways.
    fn find() -> Result<Fleet> {
        let pid = std::process::id();
        let is_free = |fleet: &Fleet| {
            [CALLER_PORT, INTERNAL_PORTS.0].iter().all(|port| {
                (1..=16).all(|vm| TcpListener::bind((fleet.ip(FIRST_VM + vm), *port)).is_ok())
            })
        };
        let mut fleets =
            (0..200_u32).map(|n| Fleet(20 + ((pid + n) % 200) as u8, (pid / 200 % 200) as u8));
        fleets.find(is_free).ok_or_else(|| "no loopback network is free".into())
    }

    fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host)
    }

    /// Address of a gateway for callers.
    pub fn caller_address(self, vm: u8) -> SocketAddr {
        (self.ip(FIRST_VM + vm), CALLER_PORT).into()
    }

    /// A free address for a backend server or for a link to it.
    pub fn server_address(self, number: u8) -> io::Result<SocketAddr> {
        TcpListener::bind((self.ip(FIRST_SERVER + number), 0))?.local_addr()
    }

    fn is_ready(self, vm: u8) -> bool {
        let address = (self.ip(FIRST_VM + vm), READINESS_PORT).into();
        request(address, "GET", "/-/ready", &[], "").is_ok_and(|answer| answer.status() == 200)
    }

    /// Asks a gateway for the address that callers of a failure domain shall use.
    pub fn resolve(self, vm: u8, domain: &str) -> Option<SocketAddr> {
        let address = (self.ip(FIRST_VM + vm), DIRECTORY_PORT).into();
        let target = format!("/-/resolve?name={HOST}&region=north&zone={domain}");
        let answer = request(address, "GET", &target, &[], "").ok()?;
        let (_, addresses) = answer.body.split_once("\"addresses\":[\"")?;
        addresses.split('"').next()?.parse().ok()
    }

    /// Waits until a gateway is ready and names an address for callers of its failure domain.
    pub fn wait_until_ready(self, vm: u8, domain: &str) -> Result<SocketAddr> {
        let start = Instant::now();
        while start.elapsed() < READY_TIME {
            if self.is_ready(vm)
                && let Some(address) = self.resolve(vm, domain)
            {
                return Ok(address);
            }
            thread::sleep(READY_PAUSE);
        }
        Err(format!("gateway {vm} is not ready in time").into())
    }
}

/// A small deployment: the store, and gateway processes started with the command of the deploy file.
pub struct Deployment {
    /// Its addresses.
    pub fleet: Fleet,
    store: Store,
    root: PathBuf,
    /// Command of the role in the deploy file.
    command: Vec<String>,
    /// Settings files and logs.
    folder: PathBuf,
    /// Running gateways, by the number that selects their address.
    processes: BTreeMap<u8, Child>,
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

impl Deployment {
    /// Starts a store without gateways, from the root of the repository.
    pub fn new() -> Result<Deployment> {
        let root = std::env::current_dir()?;
        let text = std::fs::read_to_string(root.join(DEPLOY_FILE))?;
        let line = text.lines().find_map(|line| line.trim().strip_prefix("run = "));
        let line = line.ok_or("the deploy file has no command")?;
        let command: Vec<String> = line.trim_matches('"').split(' ').map(str::to_owned).collect();
        if !root.join(&command[0]).exists() {
            return Err("the program of the deploy file is not built".into());
        }
        let name = format!("papayareel-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let fleet = Fleet::find()?;
        let store = Store::serve((fleet.ip(1), 0).into())?;
        Ok(Deployment { fleet, store, root, command, folder, processes: BTreeMap::new() })
    }

    /// Settings as the platform gives them to a gateway.
    fn settings(&self, vm: u8, domain: &str) -> String {
        let ip = self.fleet.ip(FIRST_VM + vm);
        let seed = self.fleet.ip(FIRST_VM + 1);
        let region = if domain.starts_with('a') { "north" } else { "south" };
        let (first, last) = INTERNAL_PORTS;
        let store = self.store.address();
        format!(
            r#"{{
  "node": "frontend-{domain}-{vm}", "role": "gateway", "machine_class": "frontend",
  "serves": ["frontend", "control", "directory"],
  "ip": "{ip}", "zone": "{domain}", "region": "{region}",
  "zones": {{"a1": "north", "a2": "north", "b1": "south", "b2": "south"}},
  "listen": {{"frontend": "{ip}:{CALLER_PORT}", "readiness": "{ip}:{READINESS_PORT}",
    "control": "{ip}:{CONTROL_PORT}", "directory": "{ip}:{DIRECTORY_PORT}"}},
  "internal_port_range": [{first}, {last}],
  "seeds": ["{seed}:{CONTROL_PORT}"],
  "bootstrap": true,
  "limits": {{"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "file_descriptors": 4100}},
  "heartbeat_interval_ms": 1500,
  "bounds": {{"contact_ms": 4000, "drain_timeout_ms": 2500, "grace_period_s": 6,
    "config_apply_ms": 2500, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "retry_budget_slack": 58, "quota_window_s": 5, "quota_slack": 20, "ttl_max_s": 5,
    "floor_share": 0.7}},
  "platform": {{"address": "{store}", "form": "table", "writes_per_s": 400, "reads_per_s": 2000}}
}}
"#
        )
    }

    /// Starts a gateway; `vm`, from 1 to 16, selects its address.
    pub fn start(&mut self, vm: u8, domain: &str) -> Result<()> {
        let settings = self.folder.join(format!("vm-{vm}.json"));
        std::fs::write(&settings, self.settings(vm, domain))?;
        let log = std::fs::File::create(self.folder.join(format!("vm-{vm}.log")))?;
        let process = Command::new(Path::new(&self.root).join(&self.command[0]))
            .args(&self.command[1..])
            .current_dir(&self.root)
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.insert(vm, process);
        Ok(())
    }

    /// Kills a gateway with SIGKILL.
    pub fn kill(&mut self, vm: u8) -> Result<()> {
        let mut process = self.processes.remove(&vm).ok_or("the gateway does not run")?;
        process.kill()?;
        process.wait()?;
        Ok(())
    }

    /// Writes the configuration as the operator does. The only organisation may send `rate` requests a
    /// second, and a burst of as many.
    pub fn write_config(&self, route: &Route, rate: u32) {
        let Route { prefix, timeout_ms, objective_ms } = route;
        let config = format!(
            r#"{{"version": "r4", "resources": [
{{"resource_type": "routes", "metadata": {{"name": "r-1"}}, "spec": {{"host": "{HOST}",
  "prefix": "{prefix}", "kind": "unsafe", "timeout_ms": {timeout_ms},
  "latency_objective_ms": {objective_ms}, "priority": 1, "service": "{SERVICE}",
  "max_attempts": 2, "public": false}}}},
{{"resource_type": "services", "metadata": {{"name": "{SERVICE}"}}, "spec": {{
  "health_check_path": "/health", "max_connections": 390}}}},
{{"resource_type": "tenants", "metadata": {{"name": "north"}}, "spec": {{
  "api_keys": ["{KEY}"], "rate_per_s": {rate}, "burst": {rate}}}}},
{{"resource_type": "limits", "metadata": {{}}, "spec": {{"max_header_bytes": 16384,
  "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}}}
]}}"#
        );
        self.store.put("op", "config", &config);
    }

    /// Writes the entry of a backend server that is reached at `address`, started at `born`.
    pub fn register(&self, id: &str, domain: &str, address: SocketAddr, born: u64, sequence: u64) {
        let entry = format!(
            r#"{{"service": "{SERVICE}", "address": "{address}", "zone": "{domain}",
"version": "v1", "slots": 4, "state": "ready", "cold_remaining_ms": 0, "sequence": {sequence},
"born": {born}}}"#
        );
        self.store.put("servers", id, &entry);
    }
}

/// Sends a caller's request on a connection of its own.
pub fn post(address: SocketAddr, path: &str, id: &str) -> io::Result<Message> {
    let key = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", DEADLINE_MS),
        ("Authorization", &*key),
    ];
    request(address, "POST", path, &headers, "text")
}
