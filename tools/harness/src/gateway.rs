use std::ffi::OsString;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use crate::{Caller, HttpResponse, Process};
use anyhow::Context;
use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use standins::gateway_backend::GatewayBackend;
use standins::gateway_store::GatewayStore;
use standins::raw_backend::{RawBackend, Script};
use standins::wire;
use tokio::net::TcpListener;

/// Host of all routes.
pub const GATEWAY_HOST: &str = "news.example";
/// API key of the organisation `north`.
pub const GATEWAY_KEY: &str = "key-north";

const CALLER_PORT: u16 = 18_782;
const READINESS_PORT: u16 = 18_789;
const RESOLVE_PORT: u16 = 18_780;
const FIRST_PEER_PORT: u16 = 17_340;

/// Number of the next fleet of this process; fleets differ in their addresses.
static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// Gateway processes on separate loopback addresses, with a store and backend servers.
pub struct GatewayFleet {
    /// Stand-in for the store of the platform.
    pub store: GatewayStore,
    /// Gateway processes in the order of their start.
    pub processes: Vec<Process>,
    /// Address under which the VMs that start from now on reach the store; that of the store itself
    /// if there is none.
    pub store_address: Option<SocketAddr>,
    /// Memory of the VMs that start from now on, in megabytes, as their settings state it.
    pub memory_mb: u32,
    /// Maximum size of a request body in the configurations written from now on, in bytes.
    pub max_body_bytes: usize,
    /// First port for other VMs of the VMs that start from now on. VMs look for the relay of another
    /// VM beside their own first port, so that a test can serve as the relay of a VM with another.
    pub first_peer_port: u16,
    /// Idle timeout of callers' connections in the configurations written from now on.
    pub idle_timeout: Duration,
    /// Maximum size of a request head in the configurations written from now on, in bytes.
    pub max_header_bytes: usize,
    /// Rate and burst of the organisation `north` in the configurations written from now on, in
    /// requests per second and requests.
    pub rate: u32,
    /// Number of routes `/extra-N/` in the configurations written from now on.
    pub extra_routes: u16,
    /// Whether the logs outlast this handle.
    pub keep_logs: bool,
    program: OsString,
    folder: PathBuf,
    net: [u8; 2],
    version: u64,
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        let keep = self.keep_logs || std::env::var_os("PAPAYAREEL_KEEP_LOGS").is_some();
        if !std::thread::panicking() && !keep {
            // An error is ignored, since the folder is in the temporary directory.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl GatewayFleet {
    /// Starts a store without VMs. `program` is the path of the gateway.
    pub async fn new(program: impl Into<OsString>) -> anyhow::Result<GatewayFleet> {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // Concurrent test processes differ in the process id, fleets of one process in the number.
        let net = [(pid % 200 + 20) as u8, (pid / 200 % 10 * 25) as u8 + number % 25];
        let folder = std::env::temp_dir().join(format!("papayareel-gateway-{pid}-{number}"));
        std::fs::create_dir_all(&folder).context("cannot create a folder for the test")?;
        let listener = TcpListener::bind((ip(net, 1), 0)).await?;
        let store = GatewayStore::serve(listener)?;
        let processes = Vec::new();
        Ok(GatewayFleet {
            store,
            processes,
            store_address: None,
            memory_mb: 160,
            max_body_bytes: 1000,
            first_peer_port: FIRST_PEER_PORT,
            idle_timeout: Duration::from_secs(15),
            max_header_bytes: 16_384,
            rate: 500,
            extra_routes: 0,
            keep_logs: false,
            program: program.into(),
            folder,
            net,
            version: 1,
        })
    }

    /// Returns the address of a VM for callers.
    pub fn caller_address(&self, vm: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, 10 + vm), CALLER_PORT)
    }

    /// Returns the address of a VM for messages of other VMs, if it was started with the present first
    /// port.
    pub fn peer_address(&self, vm: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, 10 + vm), self.first_peer_port)
    }

    /// Returns the address of a VM for requests that other VMs relay, if it was started with the
    /// present first port.
    pub fn relay_address(&self, vm: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, 10 + vm), self.first_peer_port + 1)
    }

    fn settings(&self, vm: u8, domain: &str) -> Value {
        let ip = ip(self.net, 10 + vm);
        let region = if domain.starts_with('a') { "north" } else { "south" };
        json!({
            "node": format!("vm-{vm}"), "role": "gateway", "ip": ip, "zone": domain,
            "region": region,
            "zones": {"a1": "north", "a2": "north", "b1": "south", "b2": "south"},
            "listen": {
                "frontend": format!("{ip}:{CALLER_PORT}"), "readiness": format!("{ip}:{READINESS_PORT}"),
                "directory": format!("{ip}:{RESOLVE_PORT}"),
            },
            "internal_port_range": [self.first_peer_port, self.first_peer_port + 15],
            "seeds": [format!("{}:1", self::ip(self.net, 10))],
            "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": self.memory_mb},
            "heartbeat_interval_ms": 1500,
            "bounds": {
                "grace_period_s": 6, "ttl_max_s": 5, "retry_budget_ratio": 0.2,
                "retry_budget_slack": 60, "budget_window_s": 10, "floor_share": 0.7,
                "quota_slack": 20,
            },
            "platform": {"address": self.store_address.unwrap_or(self.store.address()), "writes_per_s": 400, "reads_per_s": 2000},
        })
    }

    /// Starts a VM; `vm` selects its address. Returns its index in `processes`.
    pub fn start(&mut self, vm: u8, domain: &str) -> anyhow::Result<usize> {
        let path = self.write_settings(vm, domain)?;
        let log = self.folder.join(format!("vm-{vm}.log"));
        if log.exists() {
            // The log of the previous process at this address.
            let ended = self.folder.join(format!("vm-{vm}-until-{}.log", self.processes.len()));
            std::fs::rename(&log, ended).context("cannot keep the log of an ended process")?;
        }
        let process =
            Process::start("gateway", std::slice::from_ref(&self.program), &[path.into()], &log)?;
        self.processes.push(process);
        Ok(self.processes.len() - 1)
    }

    /// Starts a VM whose standard output is never read, so that the pipe of its log fills up.
    /// Returns its index in `processes`.
    pub fn start_with_unread_stdout(&mut self, vm: u8, domain: &str) -> anyhow::Result<usize> {
        let path = self.write_settings(vm, domain)?;
        let program = std::slice::from_ref(&self.program);
        self.processes.push(Process::start_with_unread_stdout("gateway", program, &[path.into()])?);
        Ok(self.processes.len() - 1)
    }

    /// Writes the settings file of a VM, also while the VM runs, and returns its path.
    pub fn write_settings(&self, vm: u8, domain: &str) -> anyhow::Result<PathBuf> {
        let path = self.folder.join(format!("vm-{vm}.json"));
        std::fs::write(&path, self.settings(vm, domain).to_string())?;
        Ok(path)
    }

    /// Returns the folder of the logs. That of a process that has ended has the number of the process
    /// that replaced it in its name.
    pub fn log_folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the log of a VM.
    pub fn log(&self, vm: u8) -> String {
        std::fs::read_to_string(self.folder.join(format!("vm-{vm}.log"))).unwrap_or_default()
    }

    /// Binds a listener for a backend server or for a proxy in front of it.
    pub async fn bind_backend(&self, number: u8) -> anyhow::Result<TcpListener> {
        Ok(TcpListener::bind((ip(self.net, 100 + number), 0)).await?)
    }

    /// Starts a backend server and registers it in the store as ready.
    pub async fn start_backend(
        &self,
        number: u8,
        domain: &str,
        service_time: Duration,
    ) -> anyhow::Result<GatewayBackend> {
        let backend = GatewayBackend::serve(
            self.bind_backend(number).await?,
            &format!("i-{number}"),
            service_time,
        )?;
        self.register_backend(number, domain, backend.address(), "ready");
        Ok(backend)
    }

    /// Starts a backend server that sends the bytes of a script, and registers it in the store as
    /// ready.
    pub async fn start_raw_backend(
        &self,
        number: u8,
        domain: &str,
        script: Script,
    ) -> anyhow::Result<RawBackend> {
        let backend = RawBackend::serve(self.bind_backend(number).await?, script)?;
        self.register_backend(number, domain, backend.address(), "ready");
        Ok(backend)
    }

    /// Writes the entry of a backend server into the store.
    pub fn register_backend(&self, number: u8, domain: &str, address: SocketAddr, state: &str) {
        let mut entry = wire::backend_entry("scripts", address, domain, state, 1);
        entry["born"] = json!(5);
        self.store.put("servers", &format!("i-{number}"), &entry);
    }

    /// Writes the entry of a backend server that has started again under its id.
    pub fn restart_backend(&self, number: u8, domain: &str, address: SocketAddr) {
        let mut entry = wire::backend_entry("scripts", address, domain, "ready", 1);
        entry["born"] = json!(6);
        self.store.put("servers", &format!("i-{number}"), &entry);
    }

    /// Writes a configuration in which the organisation `north` has these keys; returns its version.
    pub fn write_config(&mut self, keys: &[&str]) -> u64 {
        self.version += 3;
        let timed = |name: &str, prefix: &str, kind: &str, timeout_ms: u32, objective_ms: u32| {
            json!({"resource_type": "routes", "metadata": {"name": name}, "spec": {
                "host": GATEWAY_HOST, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
                "latency_objective_ms": objective_ms, "priority": 1, "service": "scripts",
                "max_attempts": 2, "public": false}})
        };
        let route = |name: &str, prefix: &str, kind: &str| timed(name, prefix, kind, 3000, 1500);
        let mut config = json!({"version": format!("r{}", self.version), "resources": [
            route("read", "/read/", "safe"),
            timed("long", "/long/", "safe", 10_000, 4000),
            route("write", "/write/", "unsafe"),
            route("upload", "/upload/", "upload"),
            {"resource_type": "services", "metadata": {"name": "scripts"}, "spec": {
                "health_check_path": "/health", "max_connections": 100}},
            {"resource_type": "tenants", "metadata": {"name": "north"}, "spec": {
                "api_keys": keys, "rate_per_s": self.rate, "burst": self.rate}},
            {"resource_type": "limits", "metadata": {}, "spec": {
                "max_header_bytes": self.max_header_bytes, "max_body_bytes": self.max_body_bytes, "header_timeout_ms": 3000,
                "idle_timeout_ms": self.idle_timeout.as_millis() as u64}},
        ]});
        // Names that compress no better than random ones.
        let name =
            |n: u16| format!("{:016x}", (u64::from(n) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let extra =
            (0..self.extra_routes).map(|n| route(&name(n), &format!("/extra-{n}/"), "safe"));
        if let Some(resources) = config["resources"].as_array_mut() {
            resources.extend(extra);
        }
        self.store.put("op", "config", &config);
        self.version
    }

    /// Asks a VM for an address as a caller in a failure domain; returns `None` if it has none.
    pub async fn resolve(&self, vm: u8, domain: &str) -> Option<SocketAddr> {
        let address = SocketAddr::new(ip(self.net, 10 + vm), RESOLVE_PORT);
        let path = format!("{}?name={GATEWAY_HOST}&region=north&zone={domain}", wire::RESOLVE_PATH);
        let response = get(address, &path).await.ok()?;
        response.json()["addresses"][0].as_str()?.parse().ok()
    }

    /// Returns the status of the readiness check of a VM; `None` if it does not respond.
    pub async fn readiness(&self, vm: u8) -> Option<u16> {
        let address = SocketAddr::new(ip(self.net, 10 + vm), READINESS_PORT);
        get(address, wire::READINESS_PATH).await.ok().map(|response| response.status.as_u16())
    }

    /// Waits until a VM is ready and resolves to an address; returns that address.
    pub async fn wait_until_ready(&self, vm: u8, domain: &str) -> anyhow::Result<SocketAddr> {
        let start = Instant::now();
        loop {
            if self.readiness(vm).await == Some(200)
                && let Some(address) = self.resolve(vm, domain).await
            {
                return Ok(address);
            }
            anyhow::ensure!(
                start.elapsed() < Duration::from_secs(20),
                "vm-{vm} is not ready within 20 s"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn ip(net: [u8; 2], host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host))
}

async fn get(address: SocketAddr, path: &str) -> anyhow::Result<HttpResponse> {
    Caller::new(address).send(&Method::GET, path, &[], Bytes::new()).await
}

/// Deadline of the requests that state none of their own, in milliseconds.
const DEADLINE_MS: u32 = 4000;

/// Sends a request with the request id `id` and an API key on a connection of its own.
pub async fn gateway_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    key: &str,
) -> anyhow::Result<HttpResponse> {
    gateway_request_on(&mut Caller::new(address), method, path, id, key, DEADLINE_MS).await
}

/// Sends a request with the request id `id` and an API key on a caller's connection.
pub async fn gateway_request_on(
    caller: &mut Caller,
    method: Method,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u32,
) -> anyhow::Result<HttpResponse> {
    let (key, deadline) = (format!("Bearer {key}"), deadline_ms.to_string());
    let headers = [
        ("host", GATEWAY_HOST),
        ("request-id", id),
        ("deadline-ms", &*deadline),
        ("authorization", &*key),
    ];
    let body = if method == Method::GET { Bytes::new() } else { Bytes::from_static(b"text") };
    caller.send(&method, path, &headers, body).await
}

/// Waits until a condition holds; returns whether it did within the timeout, which in tests is a
/// time limit that the platform prescribes.
pub async fn wait_until<F>(timeout: Duration, mut check: impl FnMut() -> F) -> bool
where
    F: Future<Output = bool>,
{
    let start = Instant::now();
    while start.elapsed() < timeout {
        if check().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    false
}
