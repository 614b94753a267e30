use std::ffi::OsString;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use crate::{Caller, HttpResponse, Process};
use anyhow::Context;
use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use standins::gateway_backend::GatewayBackend;
use standins::gateway_store::GatewayStore;
use standins::wire;
use tokio::net::TcpListener;

/// Host of every route.
pub const GATEWAY_HOST: &str = "news.example";
/// Key of the organisation `north`.
pub const GATEWAY_KEY: &str = "key-north";

const CALLERS: u16 = 18_782;
const READY: u16 = 18_789;
const ENTRY: u16 = 18_780;
const PEERS: u16 = 17_340;

/// Numbers the fleets of this process, so that their addresses differ.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// Gateways as processes on loopback addresses of their own, with a store and backend servers.
pub struct GatewayFleet {
    /// The platform's store.
    pub store: GatewayStore,
    /// Processes in the order of their starts.
    pub processes: Vec<Process>,
    program: OsString,
    folder: PathBuf,
    net: [u8; 2],
    version: u64,
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        // Left behind if it fails; the folder is in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl GatewayFleet {
    /// A store without VMs; `program` is the gateway.
    pub async fn new(program: impl Into<OsString>) -> anyhow::Result<GatewayFleet> {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // Two runs at once differ in the process, two fleets of a run in the number.
        let net = [(pid % 200 + 20) as u8, (pid / 200 % 10 * 25) as u8 + number % 25];
        let folder = std::env::temp_dir().join(format!("papayareel-gateway-{pid}-{number}"));
        std::fs::create_dir_all(&folder).context("cannot make a folder for the test")?;
        let listener = TcpListener::bind((ip(net, 1), 0)).await?;
        let store = GatewayStore::serve(listener)?;
        let processes = Vec::new();
        Ok(GatewayFleet { store, processes, program: program.into(), folder, net, version: 1 })
    }

    /// Address of a VM for callers.
    pub fn caller_address(&self, vm: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, 10 + vm), CALLERS)
    }

    /// Address of a VM for requests of other VMs.
    pub fn relay_address(&self, vm: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, 10 + vm), PEERS + 1)
    }

    fn settings(&self, vm: u8, domain: &str) -> Value {
        let ip = ip(self.net, 10 + vm);
        let region = if domain.starts_with('a') { "north" } else { "south" };
        json!({
            "node": format!("vm-{vm}"), "role": "gateway", "ip": ip, "zone": domain,
            "region": region,
            "zones": {"a1": "north", "a2": "north", "b1": "south", "b2": "south"},
            "listen": {
                "frontend": format!("{ip}:{CALLERS}"), "readiness": format!("{ip}:{READY}"),
                "directory": format!("{ip}:{ENTRY}"),
            },
            "internal_port_range": [PEERS, PEERS + 15],
            "seeds": [format!("{}:1", self::ip(self.net, 10))],
            "limits": {"cpu_share": 0.2, "cores": 1},
            "heartbeat_interval_ms": 1500,
            "bounds": {
                "grace_period_s": 6, "ttl_max_s": 5, "retry_budget_ratio": 0.2,
                "retry_budget_slack": 60, "budget_window_s": 10, "floor_share": 0.7,
                "quota_slack": 20,
            },
            "platform": {"address": self.store.address(), "writes_per_s": 400, "reads_per_s": 2000},
        })
    }

    /// Starts a VM; `vm` numbers its address.
    pub fn start(&mut self, vm: u8, domain: &str) -> anyhow::Result<usize> {
        let path = self.write_settings(vm, domain)?;
        let log = self.folder.join(format!("vm-{vm}.log"));
        let process =
            Process::start("gateway", std::slice::from_ref(&self.program), &[path.into()], &log)?;
        self.processes.push(process);
        Ok(self.processes.len() - 1)
    }

    /// Starts a VM whose log nobody reads.
    pub fn start_with_unread_stdout(&mut self, vm: u8, domain: &str) -> anyhow::Result<usize> {
        let path = self.write_settings(vm, domain)?;
        let program = std::slice::from_ref(&self.program);
        self.processes.push(Process::start_with_unread_stdout("gateway", program, &[path.into()])?);
        Ok(self.processes.len() - 1)
    }

    fn write_settings(&self, vm: u8, domain: &str) -> anyhow::Result<PathBuf> {
        let path = self.folder.join(format!("vm-{vm}.json"));
        std::fs::write(&path, self.settings(vm, domain).to_string())?;
        Ok(path)
    }

    /// Log of a VM.
    pub fn log(&self, vm: u8) -> String {
        std::fs::read_to_string(self.folder.join(format!("vm-{vm}.log"))).unwrap_or_default()
    }

    /// A listener for a backend server or a proxy before it.
    pub async fn bind_backend(&self, number: u8) -> anyhow::Result<TcpListener> {
        Ok(TcpListener::bind((ip(self.net, 100 + number), 0)).await?)
    }

    /// Starts a backend server and enters it into the store.
    pub async fn start_backend(
        &self,
        number: u8,
        domain: &str,
        work: Duration,
    ) -> anyhow::Result<GatewayBackend> {
        let target =
            GatewayBackend::serve(self.bind_backend(number).await?, &format!("i-{number}"), work)?;
        self.register_backend(number, domain, target.address(), "ready");
        Ok(target)
    }

    /// Writes the entry of a backend server.
    pub fn register_backend(&self, number: u8, domain: &str, address: SocketAddr, state: &str) {
        let mut entry = wire::backend_entry("scripts", address, domain, state, 1);
        entry["born"] = json!(5);
        self.store.put("servers", &format!("i-{number}"), &entry);
    }

    /// Writes a configuration with these keys of the organisation `north`; returns its version.
    pub fn write_config(&mut self, keys: &[&str]) -> u64 {
        self.version += 3;
        let route = |name: &str, prefix: &str, kind: &str| {
            json!({"resource_type": "routes", "metadata": {"name": name}, "spec": {
                "host": GATEWAY_HOST, "prefix": prefix, "kind": kind, "timeout_ms": 3000,
                "latency_objective_ms": 1500, "priority": 1, "service": "scripts",
                "max_attempts": 2, "public": false}})
        };
        let configuration = json!({"version": format!("r{}", self.version), "resources": [
            route("read", "/read/", "safe"),
            route("write", "/write/", "unsafe"),
            {"resource_type": "services", "metadata": {"name": "scripts"}, "spec": {
                "health_check_path": "/health", "max_connections": 100}},
            {"resource_type": "tenants", "metadata": {"name": "north"}, "spec": {
                "api_keys": keys, "rate_per_s": 500, "burst": 500}},
            {"resource_type": "limits", "metadata": {}, "spec": {
                "max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000}},
        ]});
        self.store.put("op", "config", &configuration);
        self.version
    }

    /// Asks a VM for addresses as a caller of a failure domain; none if it gives none.
    pub async fn resolve(&self, vm: u8, domain: &str) -> Option<SocketAddr> {
        let address = SocketAddr::new(ip(self.net, 10 + vm), ENTRY);
        let path = format!("{}?name={GATEWAY_HOST}&region=north&zone={domain}", wire::RESOLVE_PATH);
        let reply = get(address, &path).await.ok()?;
        reply.json()["addresses"][0].as_str()?.parse().ok()
    }

    /// Status of the readiness of a VM; none if it does not answer.
    pub async fn readiness(&self, vm: u8) -> Option<u16> {
        let address = SocketAddr::new(ip(self.net, 10 + vm), READY);
        get(address, wire::READINESS_PATH).await.ok().map(|reply| reply.status.as_u16())
    }

    /// Waits until a VM is ready and a home is known.
    pub async fn wait_until_ready(&self, vm: u8, domain: &str) -> anyhow::Result<SocketAddr> {
        let start = Instant::now();
        loop {
            if self.readiness(vm).await == Some(200)
                && let Some(address) = self.resolve(vm, domain).await
            {
                return Ok(address);
            }
            anyhow::ensure!(start.elapsed() < Duration::from_secs(20), "vm-{vm} is never ready");
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

/// Sends a request with a key and the id `id`.
pub async fn gateway_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    key: &str,
) -> anyhow::Result<HttpResponse> {
    let key = format!("Bearer {key}");
    let headers = [
        ("host", GATEWAY_HOST),
        ("request-id", id),
        ("deadline-ms", "4000"),
        ("authorization", &*key),
    ];
    let body = if method == Method::GET { Bytes::new() } else { Bytes::from_static(b"text") };
    Caller::new(address).send(&method, path, &headers, body).await
}

/// Waits for a condition within a bound that the platform sets.
pub async fn wait_until<F>(bound: Duration, mut check: impl FnMut() -> F) -> bool
where
    F: Future<Output = bool>,
{
    let start = Instant::now();
    while start.elapsed() < bound {
        if check().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    false
}
