use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use kernel::{PlatformContext, VmContext, build_limiter, build_platform};
use proxy::{Engine, EngineOptions, ServerOptions};
use settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::admin;
use crate::fleet::FleetAccess;
use crate::operators::OperatorBackend;
use crate::peer_handler::PeerHandler;
use crate::random::entropy;
use crate::shared::Shared;

// Plug-ins register themselves; these imports make sure that their crates are linked.
use balancer as _;
use detector as _;
use limiter as _;
use platform_client as _;
use queue as _;

async fn listen(address: SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .inspect_err(|error| {
            let address = address.to_string();
            telemetry::event!(LISTEN_FAILED, address = address, error = error.to_string());
        })
        .with_context(|| format!("cannot listen for {what} on {address}; choose a free address"))
}

fn build(settings: Settings) -> anyhow::Result<Arc<Shared>> {
    let context =
        PlatformContext { address: settings.platform.address, timeout: settings.platform.timeout };
    let platform = build_platform(&settings.platform.adapter, &context)?;
    let (rate_requests, requests) = mpsc::unbounded_channel();
    let name = settings.plugins.limiter.clone();
    let limiter = |incarnation| build_limiter(&name, &VmContext { incarnation, vms: 1 });
    let shared = Shared::new(settings, platform, limiter, rate_requests)?;
    let rates = Arc::clone(&shared);
    tokio::spawn(async move { rates.handle_rate_requests(requests).await });
    Ok(shared)
}

fn engine(shared: &Arc<Shared>, answers_due: CancellationToken) -> Arc<Engine> {
    let settings = &shared.settings;
    let options = EngineOptions {
        secret: settings.secrets.fleet.reveal().as_bytes().into(),
        max_body_bytes: settings.limits.max_body_bytes,
        body_timeout: settings.limits.head_timeout,
        resolve_ttl: settings.resolve.ttl,
        max_addresses: settings.resolve.max_addresses,
        answers_due,
    };
    Engine::new(Arc::new(FleetAccess(Arc::clone(shared))), options)
}

/// Starts a runtime with the configured number of worker threads and runs the daemon.
pub fn start(settings: Settings) -> anyhow::Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()
        .context("cannot start the worker threads; check the setting threads")?
        .block_on(run_with_telemetry(settings))
}

/// Runs the daemon with logs and traces, which are global to the process.
async fn run_with_telemetry(settings: Settings) -> anyhow::Result<()> {
    telemetry::init_logs(&settings.log)?;
    telemetry::event!(SETTINGS_READ);
    let seed = settings.seed.unwrap_or_else(entropy);
    let tracing = telemetry::start_traces(&settings.traces, &settings.vm, seed)?;
    let result = run(settings).await;
    if let Some(tracing) = tracing
        && let Err(error) = tracing.stop().await
    {
        telemetry::event!(TRACES_LOST, error = error.to_string());
    }
    telemetry::log::logger().flush();
    result
}

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let callers = listen(settings.listen.callers, "callers").await?;
    let peers = listen(settings.listen.peers, "other VMs").await?;
    let operators = listen(settings.listen.operators, "operators").await?;
    let admin = listen(settings.listen.admin, "metrics and health").await?;
    let shared = build(settings)?;
    let (stop, answers_due) = (CancellationToken::new(), CancellationToken::new());
    // Requests in progress need the other VMs until they are answered.
    let finished = CancellationToken::new();
    serve_peers(&shared, peers, &finished);
    tokio::spawn(admin::serve(admin, Arc::clone(&shared), finished.clone()));
    spawn_loops(&shared);
    shared.load_first_configuration().await;
    let engine = engine(&shared, answers_due.clone());
    shared.set_engine(Arc::clone(&engine));
    let poll = Arc::clone(&shared);
    tokio::spawn(async move { poll.poll_configuration().await });
    let operators = serve_operators(&shared, operators, &stop)?;
    let limits = &shared.settings.limits;
    let options = ServerOptions {
        max_head_bytes: limits.max_head_bytes,
        head_timeout: limits.head_timeout,
        max_connections: limits.max_connections,
    };
    let serve = tokio::spawn(proxy::serve(callers, engine, options, stop.clone()));
    let metrics = Arc::clone(&shared);
    tokio::spawn(async move { metrics.run_metrics().await });
    let (vm, callers) = (&shared.this_vm.vm, shared.this_vm.callers.to_string());
    telemetry::event!(STARTED, vm = vm, callers = callers);
    wait_for_signal().await?;
    telemetry::event!(STOPPING, vm = shared.this_vm.vm);
    shared.leave().await;
    // Callers may cache resolve responses that name this VM, and use it until those expire.
    tokio::time::sleep(shared.settings.drain_period).await;
    stop.cancel();
    let (finish_period, due) = (shared.settings.finish_period, answers_due.clone());
    tokio::spawn(async move {
        tokio::time::sleep(finish_period).await;
        due.cancel();
    });
    let cut = serve.await.context("the server for callers failed")?;
    tokio::select! {
        // A task that panicked has no calls left to answer.
        _ = operators => {}
        () = answers_due.cancelled() => {}
    }
    finished.cancel();
    shared.stop_using_rates().await;
    if let Err(error) = shared.holder.lock().await.release_all().await {
        telemetry::event!(RIGHTS_KEPT, error = error.to_string());
    }
    match cut {
        0 => telemetry::event!(STOPPED, vm = shared.this_vm.vm),
        _ => telemetry::event!(STOPPED_EARLY, vm = shared.this_vm.vm, connections = cut),
    }
    Ok(())
}

fn serve_peers(shared: &Arc<Shared>, listener: TcpListener, stop: &CancellationToken) {
    let secret: Arc<[u8]> = shared.settings.secrets.fleet.reveal().as_bytes().into();
    let random = Arc::clone(&shared.random);
    let handler = Arc::new(PeerHandler(Arc::clone(shared)));
    let random: peers::RandomSource = Arc::new(move || random.next());
    tokio::spawn(peers::serve(listener, secret, random, handler, stop.clone()));
}

/// Serves operators until `stop` is cancelled; the task ends once their calls are answered.
fn serve_operators(
    shared: &Arc<Shared>,
    listener: TcpListener,
    stop: &CancellationToken,
) -> anyhow::Result<JoinHandle<()>> {
    let tokens = &shared.settings.secrets.operator_tokens;
    if tokens.is_empty() {
        // Without a token no operator could be authorised.
        return Ok(tokio::spawn(async {}));
    }
    let tokens = tokens.iter().map(|t| t.reveal());
    let tokens = operator::OperatorTokens::new(tokens)?;
    let backend = Arc::new(OperatorBackend(Arc::clone(shared)));
    let stop = stop.clone();
    Ok(tokio::spawn(async move {
        let stopped = async move { stop.cancelled().await };
        if let Err(error) = operator::serve(listener, backend, tokens, stopped).await {
            telemetry::event!(OPERATORS_UNSERVED, error = error.to_string());
        }
    }))
}

fn spawn_loops(shared: &Arc<Shared>) {
    let membership = Arc::clone(shared);
    tokio::spawn(async move { membership.run_membership().await });
    let list = Arc::clone(shared);
    tokio::spawn(async move { list.sync_vm_list().await });
    let limiter = Arc::clone(shared);
    tokio::spawn(async move { limiter.run_limiter().await });
    let homes = Arc::clone(shared);
    tokio::spawn(async move { homes.run_homes().await });
    let reports = Arc::clone(shared);
    tokio::spawn(async move { reports.report_free_slots().await });
    let rights = Arc::clone(shared);
    tokio::spawn(async move { rights.maintain_rights().await });
}

async fn wait_for_signal() -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
