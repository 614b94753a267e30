use std::net::SocketAddr;
use std::time::Duration;

use crate::{Server, backend, platform};
use anyhow::Context;
use argh::FromArgs;
use tokio::net::TcpListener;

/// Stand-ins for the platform and for backend servers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArgs),
    Backend(BackendArgs),
}

/// Stand-in for the platform: table, object store and list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// second address for /control and /seen, also served while connections are refused
    #[argh(option)]
    control: Option<SocketAddr>,
    /// limit of writes per second
    #[argh(option, default = "400.0")]
    writes: f64,
    /// limit of reads per second
    #[argh(option, default = "2000.0")]
    reads: f64,
    /// seconds until the process exits
    #[argh(option, default = "3600")]
    stop_after_s: u64,
}

/// Stand-in for a backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
struct BackendArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// second address for /control and /seen, also served while connections are refused
    #[argh(option)]
    control: Option<SocketAddr>,
    /// id in its responses (default: the listen address)
    #[argh(option)]
    id: Option<String>,
    /// requests that run at a time
    #[argh(option, default = "4")]
    slots: usize,
    /// requests that may wait for a slot
    #[argh(option, default = "16")]
    waiting: usize,
    /// limit of open connections
    #[argh(option, default = "400")]
    connections: usize,
    /// median service time in ms
    #[argh(option, default = "50")]
    median_ms: u64,
    /// 99th percentile of the service time in ms
    #[argh(option, default = "250")]
    p99_ms: u64,
    /// seed of the random number generator
    #[argh(option, default = "1")]
    seed: u64,
    /// length of a cold start in ms
    #[argh(option, default = "0")]
    cold_start_ms: u64,
    /// service time at the beginning of a cold start, as a multiple of the normal one
    #[argh(option, default = "3.0")]
    cold_factor: f64,
    /// end the process on a crash instead of closing all connections
    #[argh(switch)]
    exit_on_crash: bool,
    /// seconds until the process exits
    #[argh(option, default = "3600")]
    stop_after_s: u64,
}

/// Runs the stand-in that the arguments name until it is stopped or its time limit is reached.
pub fn run(args: &[String]) -> anyhow::Result<()> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["standins"], &args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return Ok(());
        }
        Err(exit) => anyhow::bail!(exit.output),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_command(args.command))
}

async fn run_command(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Platform(args) => {
            let listener = bind_listener(args.listen).await?;
            let options = platform::Options { writes_per_s: args.writes, reads_per_s: args.reads };
            let server = platform::serve(listener, options)?;
            serve(server, args.control, args.stop_after_s).await
        }
        Command::Backend(args) => {
            let listener = bind_listener(args.listen).await?;
            let options = backend::Options {
                id: args.id.unwrap_or_else(|| args.listen.to_string()).into(),
                slots: args.slots,
                max_queued: args.waiting,
                max_connections: args.connections,
                median_time: Duration::from_millis(args.median_ms),
                p99_time: Duration::from_millis(args.p99_ms),
                seed: args.seed,
                cold_start: Duration::from_millis(args.cold_start_ms),
                cold_factor: args.cold_factor,
                exit_on_crash: args.exit_on_crash,
                ..backend::Options::default()
            };
            let server = backend::serve(listener, options)?;
            serve(server, args.control, args.stop_after_s).await
        }
    }
}

async fn bind_listener(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

async fn serve(
    server: Server,
    control: Option<SocketAddr>,
    stop_after_s: u64,
) -> anyhow::Result<()> {
    println!("listening on {}", server.address());
    if let Some(address) = control {
        tokio::spawn(server.serve_control(bind_listener(address).await?));
    }
    match tokio::time::timeout(Duration::from_secs(stop_after_s), server.wait()).await {
        Ok(result) => result.context("the listener failed"),
        Err(_) => Ok(()),
    }
}
