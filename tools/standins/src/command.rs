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

/// Stand-in for the platform's table, object store and list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// second address for /control and /seen, open while connections are refused
    #[argh(option)]
    control: Option<SocketAddr>,
    /// budget of writes per second
    #[argh(option, default = "400.0")]
    writes: f64,
    /// budget of reads per second
    #[argh(option, default = "2000.0")]
    reads: f64,
    /// seconds until it stops by itself
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
    /// second address for /control and /seen, open while connections are refused
    #[argh(option)]
    control: Option<SocketAddr>,
    /// name in its answers; the address by default
    #[argh(option)]
    id: Option<String>,
    /// requests that it runs at once
    #[argh(option, default = "4")]
    slots: usize,
    /// requests that wait for a slot
    #[argh(option, default = "16")]
    waiting: usize,
    /// connections that it accepts
    #[argh(option, default = "400")]
    connections: usize,
    /// median service time in ms
    #[argh(option, default = "50")]
    median_ms: u64,
    /// 99th percentile of the service time in ms
    #[argh(option, default = "250")]
    p99_ms: u64,
    /// seed of the random generator
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
    /// seconds until it stops by itself
    #[argh(option, default = "3600")]
    stop_after_s: u64,
}

/// Runs one stand-in with these arguments until it is stopped or its time is over.
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
    runtime.block_on(start(args.command))
}

async fn start(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Platform(args) => {
            let listener = bind(args.listen).await?;
            let options = platform::Options { writes_per_s: args.writes, reads_per_s: args.reads };
            let server = platform::serve(listener, options)?;
            serve(server, args.control, args.stop_after_s).await
        }
        Command::Backend(args) => {
            let listener = bind(args.listen).await?;
            let options = backend::Options {
                id: args.id.unwrap_or_else(|| args.listen.to_string()).into(),
                slots: args.slots,
                waiting: args.waiting,
                connections: args.connections,
                median: Duration::from_millis(args.median_ms),
                p99: Duration::from_millis(args.p99_ms),
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

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

async fn serve(server: Server, control: Option<SocketAddr>, seconds: u64) -> anyhow::Result<()> {
    println!("listening on {}", server.address());
    if let Some(address) = control {
        tokio::spawn(server.serve_control(bind(address).await?));
    }
    match tokio::time::timeout(Duration::from_secs(seconds), server.wait()).await {
        Ok(ended) => ended.context("the listener failed"),
        Err(_) => Ok(()),
    }
}
