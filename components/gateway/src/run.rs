use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use adapter::{boot_config_path, read_boot_config};
use anyhow::Context;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;

use crate::accept::serve;
use crate::drain::{drain, last_wait, reload};
use crate::node::Node;
use crate::options::Options;
use crate::{bus, entry, flow, logs, relay, roster, sync, tick, watch};

async fn listen(address: SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for {what} on {address}; choose a free address"))
}

/// Starts the gateway on one thread: its VMs have a part of one core.
pub fn run(path: Option<PathBuf>, options: Options, seed: Option<u64>) -> anyhow::Result<()> {
    logs::init()?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?
        .block_on(start(path.unwrap_or_else(boot_config_path), options, seed))
}

async fn start(path: PathBuf, options: Options, seed: Option<u64>) -> anyhow::Result<()> {
    let boot = read_boot_config(&path)?;
    telemetry::event!(SETTINGS_READ);
    let socket = UdpSocket::bind(boot.listen.peers)
        .await
        .with_context(|| format!("cannot receive on {}", boot.listen.peers))?;
    let seed = seed.unwrap_or_else(rand::random);
    let addresses = boot.listen.clone();
    let node = Node::new(boot, options, seed, socket);
    let stop = CancellationToken::new();
    let mut servers = Vec::new();
    if let Some(address) = addresses.callers {
        let listener = listen(address, "callers").await?;
        servers.push(tokio::spawn(serve(listener, Arc::clone(&node), flow::handle, stop.clone())));
    }
    for address in [addresses.resolve, addresses.readiness].into_iter().flatten() {
        let listener = listen(address, "entry and readiness").await?;
        let node = Arc::clone(&node);
        servers.push(tokio::spawn(serve(listener, node, door, stop.clone())));
    }
    let listener = listen(addresses.relay, "requests of other VMs").await?;
    servers.push(tokio::spawn(serve(listener, Arc::clone(&node), relay::handle, stop.clone())));
    let listener = listen(addresses.metrics, "metrics").await?;
    tokio::spawn(serve(listener, Arc::clone(&node), entry::metrics, stop.clone()));
    let listener = listen(addresses.peers, "other VMs").await?;
    tokio::spawn(sync::serve(listener, Arc::clone(&node)));
    tokio::spawn(bus::receive(Arc::clone(&node)));
    tokio::spawn(tick::poll(Arc::clone(&node)));
    tokio::spawn(tick::beat(Arc::clone(&node)));
    tokio::spawn(tick::report(Arc::clone(&node)));
    tokio::spawn(watch::watch_configuration(Arc::clone(&node)));
    tokio::spawn(watch::watch_backends(Arc::clone(&node)));
    tokio::spawn(roster::enter(Arc::clone(&node)));
    let reloads = reload(Arc::clone(&node), path);
    tokio::spawn(async move {
        if let Err(error) = reloads.await {
            telemetry::event!(SETTINGS_REFUSED, error = error.to_string());
        }
    });
    let vm = node.boot.load().vm.clone();
    telemetry::event!(STARTED, vm = vm, incarnation = format!("{:016x}", node.vm));
    drain(Arc::clone(&node), stop).await?;
    let finish = async {
        for server in servers {
            // A server that panicked has nothing left to finish.
            let _ = server.await;
        }
    };
    let finished = tokio::time::timeout(last_wait(&node), finish).await.is_ok();
    telemetry::event!(STOPPED, vm = vm, finished = finished);
    // Lets the log thread write the last line.
    tokio::time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// Entry answers and readiness may share an address.
async fn door(
    node: Arc<Node>,
    request: http::Request<hyper::body::Incoming>,
) -> crate::answer::CallerAnswer {
    if request.uri().path() == adapter::READINESS_PATH {
        return entry::readiness(node, request).await;
    }
    entry::entry(node, request).await
}
