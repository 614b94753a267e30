use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;

/// Part of a path that marks a request which crashes the server that runs it.
pub const POISON_MARK: &str = "poison";
/// Time between a crash and the end of the connections, in which the listener closes.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(20);
/// Time from a crash to the next start.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Pause of a thread that finds nothing to do.
const IDLE_PAUSE: Duration = Duration::from_millis(1);

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

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Number of starts.
    starts: AtomicU64,
}

/// One start of the server.
#[derive(Default)]
struct Start {
    crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

struct Settings {
    id: String,
    service_time: Duration,
    crashes: bool,
}

/// A backend server that crashes when it begins to run certain requests, and is back some seconds
/// later under its id.
pub struct Target {
    address: SocketAddr,
    shared: Arc<Shared>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Target {
    /// Starts the server `id`; a request takes `service_time`. Unless `crashes`, no request crashes it.
    pub fn start(
        address: SocketAddr,
        id: &str,
        service_time: Duration,
        crashes: bool,
    ) -> io::Result<Target> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared: Arc<Shared> = Arc::default();
        let settings = Arc::new(Settings { id: id.to_owned(), service_time, crashes });
        let state = Arc::clone(&shared);
        thread::spawn(move || {
            let mut next = Ok(listener);
            while let Ok(listener) = next {
                state.starts.fetch_add(1, Ordering::SeqCst);
                serve_until_crash(listener, &settings, &state);
                thread::sleep(RESTART_TIME);
                next = TcpListener::bind(address);
            }
        });
        Ok(Target { address, shared })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of its starts; `None` while it is down.
    pub fn running_start(&self) -> Option<u64> {
        let starts = self.shared.starts.load(Ordering::SeqCst);
        (lock(&self.shared.state).crashes.len() as u64 != starts).then_some(starts)
    }

    /// Requests that it has begun to run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.state).runs.clone()
    }

    /// When it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.shared.state).crashes.clone()
    }
}

fn serve_until_crash(listener: TcpListener, settings: &Arc<Settings>, shared: &Arc<Shared>) {
    let start: Arc<Start> = Arc::default();
    // A listener that waited could not be closed.
    let _ = listener.set_nonblocking(true);
    while !start.crashed.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(IDLE_PAUSE);
            continue;
        };
        lock(&start.connections).extend(stream.try_clone());
        let (settings, shared) = (Arc::clone(settings), Arc::clone(shared));
        let start = Arc::clone(&start);
        // An error means that the other side has closed the connection.
        thread::spawn(move || serve_connection(stream, &settings, &shared, &start));
    }
    drop(listener);
    thread::sleep(LISTENER_CLOSE_TIME);
    for connection in lock(&start.connections).drain(..) {
        // It may be closed already.
        let _ = connection.shutdown(Shutdown::Both);
    }
}

fn serve_connection(
    mut stream: TcpStream,
    settings: &Settings,
    shared: &Shared,
    start: &Start,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer)? {
        let (id, path) = (request.header("request-id"), request.word(1));
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != settings.id {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                settings.id
            );
            stream.write_all(refusal.as_bytes())?;
            continue;
        }
        let index = {
            let mut state = lock(&shared.state);
            if start.crashed.load(Ordering::SeqCst) {
                return Ok(());
            }
            let run = Run { id: id.to_owned(), at: Instant::now(), ended: false };
            state.runs.push(run);
            if settings.crashes && path.contains(POISON_MARK) {
                state.crashes.push(Instant::now());
                start.crashed.store(true, Ordering::SeqCst);
                return Ok(());
            }
            state.runs.len() - 1
        };
        thread::sleep(settings.service_time);
        {
            let mut state = lock(&shared.state);
            if start.crashed.load(Ordering::SeqCst) {
                return Ok(());
            }
            state.runs[index].ended = true;
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}.{}\r\n\
             Content-Length: {}\r\n\r\n{path}",
            settings.id,
            path.len(),
            path.len()
        );
        stream.write_all(response.as_bytes())?;
    }
    Ok(())
}
