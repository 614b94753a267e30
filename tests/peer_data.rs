//! Guards against data of another VM that is not applied, or trusted though it was not: the test takes
//! the part of a VM of an older release that announces a newer configuration.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use futures::StreamExt;
use gateway::{Datagram, HeartbeatMessage, decode, encode};
use harness::{GATEWAY_KEY as KEY, GatewayFleet, gateway_request, wait_until};
use http::Method;
use serde_json::{Value, json};
use standins::gateway_backend::GatewayBackend;
use standins::gateway_store::StoreMode;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, UdpSocket};

/// Time within which a configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2500);

/// The calls of older releases.
#[tarpc::service]
trait Sync {
    async fn knowledge(version: u64, backends: u64) -> Value;
}

#[derive(Clone)]
struct OlderVm(String);

impl Sync for OlderVm {
    async fn knowledge(self, _: tarpc::context::Context, _: u64, backends: u64) -> Value {
        json!({"configuration": self.0, "rows": null, "backends": backends, "confirmed_ms": 10})
    }
}

async fn serve(listener: TcpListener, vm: OlderVm) {
    while let Ok((stream, _)) = listener.accept().await {
        let framed = LengthDelimitedCodec::builder().new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Json::default());
        let calls = BaseChannel::with_defaults(transport).execute(vm.clone().serve());
        tokio::spawn(calls.for_each(|call| call));
    }
}

/// Time within which a call that waits for changes ends, which the store still answers.
const LONG_POLL: Duration = Duration::from_millis(1500);
/// Version that the other VM announces.
const VERSION: u64 = 1_000;

/// A VM of the same failure domain that sends this configuration.
struct Peer {
    socket: UdpSocket,
    heartbeat: HeartbeatMessage,
    to: SocketAddr,
}

impl Peer {
    async fn start(fleet: &GatewayFleet, config: String) -> anyhow::Result<Peer> {
        let to = fleet.peer_address(0);
        let IpAddr::V4(ip) = to.ip() else { anyhow::bail!("no IPv4") };
        let [a, b, c, d] = ip.octets();
        let own = SocketAddr::new(IpAddr::from([a, b, c, d + 9]), to.port());
        tokio::spawn(serve(TcpListener::bind(own).await?, OlderVm(config)));
        let heartbeat = HeartbeatMessage {
            incarnation: 77,
            domain: "a1".into(),
            callers: own,
            peers: own,
            uptime_ms: 60_000,
            capacity_percent: 10,
            term: 0,
            eligible: true,
            config_version: VERSION,
            backends_version: 0,
            confirmed_ms: 10,
            store_failing: false,
        };
        Ok(Peer { socket: UdpSocket::bind(own).await?, heartbeat, to })
    }

    async fn send_heartbeat(&self) -> anyhow::Result<()> {
        let datagram = encode(&Datagram::Heartbeat(self.heartbeat.clone()));
        self.socket.send_to(&datagram, self.to).await?;
        Ok(())
    }

    /// The next heartbeat of the VM under test.
    async fn receive_heartbeat(&self) -> anyhow::Result<HeartbeatMessage> {
        let mut buffer = vec![0; 8192];
        loop {
            let length = self.socket.recv(&mut buffer).await?;
            if let Datagram::Heartbeat(heartbeat) = decode(&buffer[..length])? {
                return Ok(heartbeat);
            }
        }
    }
}

async fn fleet() -> anyhow::Result<(GatewayFleet, GatewayBackend)> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    let backend = fleet.start_backend(1, "a1", Duration::from_millis(20)).await?;
    fleet.write_config(&[KEY]);
    fleet.start(0, "a1")?;
    fleet.wait_until_ready(0, "a1").await?;
    Ok((fleet, backend))
}

#[tokio::test]
async fn configuration_of_a_vm_of_an_older_release_is_applied() -> anyhow::Result<()> {
    let (fleet, _backend) = fleet().await?;
    let config = json!({"version": format!("r{VERSION}"), "resources": [
        {"resource_type": "routes", "metadata": {"name": "new"}, "spec": {
            "host": harness::GATEWAY_HOST, "prefix": "/new/", "kind": "safe", "timeout_ms": 3000,
            "latency_objective_ms": 1500, "service": "scripts", "max_attempts": 2, "public": true}},
        {"resource_type": "services", "metadata": {"name": "scripts"}, "spec": {
            "health_check_path": "/health", "max_connections": 100}},
    ]});
    let peer = Peer::start(&fleet, config.to_string()).await?;
    peer.send_heartbeat().await?;
    let address = fleet.caller_address(0);
    let in_force = || async {
        let reply = gateway_request(address, Method::GET, "/new/", "id-new", KEY).await;
        reply.is_ok_and(|reply| reply.status.as_u16() == 200)
    };
    assert!(wait_until(APPLY_LIMIT, in_force).await, "{}", fleet.log(0));
    Ok(())
}

// Guards against a VM that holds an old configuration for a confirmed one: a pull whose configuration
// was refused confirmed the one in force, and the VM did not read the store.
#[tokio::test]
async fn refused_configuration_confirms_nothing() -> anyhow::Result<()> {
    let (fleet, _backend) = fleet().await?;
    fleet.store.set_mode(StoreMode::Unavailable);
    let peer = Peer::start(&fleet, "no configuration".into()).await?;
    let start = Instant::now();
    let mut oldest = 0;
    while start.elapsed() < LONG_POLL + APPLY_LIMIT + Duration::from_secs(1) {
        peer.send_heartbeat().await?;
        let heartbeat = peer.receive_heartbeat().await?;
        assert!(heartbeat.config_version < VERSION);
        oldest = oldest.max(heartbeat.confirmed_ms);
    }
    assert!(fleet.log(0).contains("config-refused"), "nothing was pulled: {}", fleet.log(0));
    assert!(u128::from(oldest) > APPLY_LIMIT.as_millis(), "confirmed {oldest} ms ago");
    Ok(())
}
