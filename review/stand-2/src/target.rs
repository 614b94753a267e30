use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::http::read_message;

/// Part of a path that marks a request which crashes the server that runs it.
pub const POISON_MARK: &str = "poison";
/// Time between a crash and the end of the connections, in which the listener closes.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(20);
/// Time from a crash to the next start.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Length of the listener's queue.
const BACKLOG: u32 = 128;

/// A request that a backend server has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// When it began to run.
    pub at: Instant,
    /// Whether its run came to an end. One that was running when the server crashed did not.
    pub ended: bool,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    crashes: Vec<Instant>,
}

/// A backend server that crashes when it begins to run certain requests, and is back some seconds
/// later under its id.
pub struct Target {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Number of starts so far.
    starts: watch::Receiver<u64>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Target {
    /// Starts the server `id`; a request takes `service_time`. Unless `crashes`, no request crashes it.
    pub fn start(
        address: SocketAddr,
        id: &str,
        service_time: Duration,
        crashes: bool,
    ) -> io::Result<Target> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let state: Arc<Mutex<State>> = Arc::default();
        let (starts, watch) = watch::channel(1);
        let settings = Settings { id: id.into(), service_time, crashes };
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            let mut next = Some(listener);
            loop {
                let Some(listener) = next.take().or_else(|| listen(address).ok()) else { return };
                serve_until_crash(listener, &settings, &shared).await;
                sleep(RESTART_TIME).await;
                starts.send_modify(|count| *count += 1);
            }
        });
        Ok(Target { address, state, starts: watch })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Follows the number of its starts.
    pub fn starts(&self) -> watch::Receiver<u64> {
        self.starts.clone()
    }

    /// Requests that it has begun to run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// When it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.state).crashes.clone()
    }
}

#[derive(Clone)]
struct Settings {
    id: Arc<str>,
    service_time: Duration,
    crashes: bool,
}

async fn serve_until_crash(listener: TcpListener, settings: &Settings, state: &Arc<Mutex<State>>) {
    let (crash, mut crashed) = watch::channel(false);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let (settings, state) = (settings.clone(), Arc::clone(state));
                let crash = crash.clone();
                connections.spawn(async move {
                    // An error means that the other side has closed the connection.
                    let _ = serve_connection(stream, &settings, &state, &crash).await;
                });
            },
            _ = crashed.changed() => break,
        }
    }
    drop(listener);
    sleep(LISTENER_CLOSE_TIME).await;
    // Ends all connections, with whatever runs on them.
    connections.shutdown().await;
}

async fn serve_connection(
    mut stream: TcpStream,
    settings: &Settings,
    state: &Mutex<State>,
    crash: &watch::Sender<bool>,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer).await? {
        let (id, path) = (request.header("request-id"), request.word(1));
        let expected = request.header("expected-instance");
        if !expected.is_empty() && *expected != *settings.id {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                settings.id
            );
            stream.write_all(refusal.as_bytes()).await?;
            continue;
        }
        let run = Run { id: id.to_owned(), at: Instant::now(), ended: false };
        let index = {
            let mut state = lock(state);
            state.runs.push(run);
            state.runs.len() - 1
        };
        if settings.crashes && path.contains(POISON_MARK) {
            lock(state).crashes.push(Instant::now());
            crash.send_replace(true);
            std::future::pending::<()>().await;
        }
        sleep(settings.service_time).await;
        lock(state).runs[index].ended = true;
        let response = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}.{}\r\n\
             Content-Length: {}\r\n\r\n{path}",
            settings.id,
            path.len(),
            path.len()
        );
        stream.write_all(response.as_bytes()).await?;
    }
    Ok(())
}
