use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use adapter::{boot_config_path, read_boot_config};
use anyhow::Context;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;

use crate::connection_progress::ConnectionEnd;
use crate::http_server::serve;
use crate::node::Node;
use crate::options::Options;
use crate::running_requests::Stage;
use crate::signals::{Signals, reload, stop_on_signal};
use crate::{
    admission, endpoints, logs, messaging, pacing, periodic, pull, registration, relay,
    store_watch, sync,
};

async fn listen(address: SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for {what} on {address}; choose a free address"))
}

/// Runs the gateway on a single thread, because its VMs have a fraction of one core.
pub fn run(path: Option<PathBuf>, options: Options, seed: Option<u64>) -> anyhow::Result<()> {
    logs::init()?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?
        .block_on(start(path.unwrap_or_else(boot_config_path), options, seed))
}

async fn start(path: PathBuf, options: Options, seed: Option<u64>) -> anyhow::Result<()> {
    let (stop_signals, hangup) = Signals::register()?.split();
    let boot_config = read_boot_config(&path)?;
    telemetry::event!(SETTINGS_READ);
    let socket = UdpSocket::bind(boot_config.listen.peers).await.with_context(|| {
        format!("cannot receive datagrams on {}; choose a free address", boot_config.listen.peers)
    })?;
    let seed = seed.unwrap_or_else(rand::random);
    let addresses = boot_config.listen.clone();
    let node = Node::new(boot_config, options, seed, socket);
    let stop = CancellationToken::new();
    let mut servers = Vec::new();
    if let Some(address) = addresses.callers {
        let listener = listen(address, "callers").await?;
        servers.push(tokio::spawn(serve(
            listener,
            Arc::clone(&node),
            admission::handle,
            stop.clone(),
        )));
    }
    for address in [addresses.resolve, addresses.readiness].into_iter().flatten() {
        let listener = listen(address, "address resolution and readiness").await?;
        let node = Arc::clone(&node);
        servers.push(tokio::spawn(serve(listener, node, resolve_or_readiness, stop.clone())));
    }
    let listener = listen(addresses.relay, "requests of other VMs").await?;
    servers.push(tokio::spawn(serve(listener, Arc::clone(&node), relay::handle, stop.clone())));
    let listener = listen(addresses.metrics, "metrics").await?;
    tokio::spawn(serve(listener, Arc::clone(&node), endpoints::metrics, stop.clone()));
    let listener = listen(addresses.peers, "other VMs").await?;
    tokio::spawn(sync::serve(listener, Arc::clone(&node)));
    tokio::spawn(messaging::receive(Arc::clone(&node)));
    tokio::spawn(pull::pull_updates(Arc::clone(&node)));
    tokio::spawn(periodic::poll_election(Arc::clone(&node)));
    tokio::spawn(periodic::send_heartbeats(Arc::clone(&node)));
    tokio::spawn(periodic::send_reports(Arc::clone(&node)));
    tokio::spawn(pacing::pace_requests(Arc::clone(&node)));
    tokio::spawn(store_watch::watch_configuration(Arc::clone(&node)));
    tokio::spawn(store_watch::watch_backends(Arc::clone(&node)));
    tokio::spawn(registration::register(Arc::clone(&node)));
    tokio::spawn(reload(Arc::clone(&node), path, hangup));
    let vm = node.boot_config.load().vm.clone();
    telemetry::event!(STARTED, vm = vm, incarnation = format!("{:016x}", node.incarnation));
    let schedule = stop_on_signal(&node, stop_signals, stop).await;
    let finish = async {
        for server in servers {
            // A server that panicked has no requests left to finish.
            let _ = server.await;
        }
    };
    let time_left = schedule.exit_at.saturating_sub(node.now());
    if tokio::time::timeout(time_left, finish).await.is_ok() {
        telemetry::event!(STOPPED, vm = vm);
    } else {
        log_unfinished(&node, &vm);
    }
    // Gives the log thread time to write the last line.
    tokio::time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// Logs the requests and connections that are cut off by the end of the process.
fn log_unfinished(node: &Node, vm: &str) {
    let now = node.now();
    let requests = node.running.list();
    requests.iter().for_each(|request| request.log_unfinished(now));
    let count = |stage| requests.iter().filter(|request| request.stage == stage).count();
    let connections = node.connections.list();
    connections.iter().for_each(|connection| connection.log_end(node, ConnectionEnd::ProcessEnd));
    telemetry::event!(
        STOPPED_EARLY,
        vm = vm,
        read = count(Stage::Read),
        waiting = count(Stage::Waiting),
        sent = count(Stage::Sent),
        connections = connections.len(),
    );
}

/// Serves address resolution and readiness, which may share a listener.
async fn resolve_or_readiness(
    node: Arc<Node>,
    request: http::Request<hyper::body::Incoming>,
) -> crate::response::CallerResponse {
    if request.uri().path() == adapter::READINESS_PATH {
        return endpoints::readiness(node, request).await;
    }
    endpoints::resolve(node, request).await
}
