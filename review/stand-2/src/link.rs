use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Result;

/// Time after which the sender of bytes that are not acknowledged gives up. It is the timeout that
/// the gateway sets on its connections to backend servers (TCP_USER_TIMEOUT).
const USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after which a connection that is not established shows that the listener's queue is full.
const FULL_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of the connections that fill the queue.
const MAX_FILLERS: usize = 400;
/// Time within which the queue has to be full.
const CUT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause of a thread that finds nothing to do.
const IDLE_PAUSE: Duration = Duration::from_millis(1);

#[derive(Default)]
struct State {
    /// Whether the link is to be cut.
    cut: AtomicBool,
    /// Whether new connections are no longer answered.
    full: AtomicBool,
}

/// The link between the gateways and one backend server.
///
/// While it is cut in the direction from the backend server, requests still reach the server, but
/// nothing comes back: no response and no acknowledgement. The gateway sees the same as on a real cut
/// of that direction: bytes that stay unacknowledged, so that its kernel breaks the connection
/// `USER_TIMEOUT` after they were sent, and opening packets without an answer.
pub struct Link {
    address: SocketAddr,
    state: Arc<State>,
}

impl Link {
    /// Opens a link to `server` on an address of its own.
    pub fn open(address: SocketAddr, server: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state: Arc<State> = Arc::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || accept(&listener, address, server, &shared));
        Ok(Link { address, state })
    }

    /// Address at which the gateways reach the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the direction from the backend server. Returns once new connections are not answered.
    pub fn cut(&self) -> Result<()> {
        self.state.cut.store(true, Ordering::SeqCst);
        let end = Instant::now() + CUT_TIMEOUT;
        while !self.state.full.load(Ordering::SeqCst) {
            if Instant::now() > end {
                return Err("the queue of new connections does not get full".into());
            }
            thread::sleep(IDLE_PAUSE);
        }
        Ok(())
    }

    /// Restores the link.
    pub fn restore(&self) {
        self.state.cut.store(false, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, address: SocketAddr, server: SocketAddr, state: &Arc<State>) {
    loop {
        if state.cut.load(Ordering::SeqCst) {
            let fillers = fill_queue(address);
            state.full.store(fillers.len() < MAX_FILLERS, Ordering::SeqCst);
            while state.cut.load(Ordering::SeqCst) {
                thread::sleep(IDLE_PAUSE);
            }
            state.full.store(false, Ordering::SeqCst);
            // The fillers came first.
            for _ in &fillers {
                let _ = listener.accept();
            }
        }
        match listener.accept() {
            Ok((stream, _)) => {
                let state = Arc::clone(state);
                // An error means that one side has closed the connection.
                thread::spawn(move || carry(stream, server, &state));
            }
            Err(_) => thread::sleep(IDLE_PAUSE),
        }
    }
}

/// Fills the queue of the listener, so that the kernel drops further opening packets.
fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS {
        match TcpStream::connect_timeout(&address, FULL_AFTER) {
            Ok(stream) => fillers.push(stream),
            Err(_) => break,
        }
    }
    fillers
}

/// Result of a read that does not wait: `None` if nothing has arrived.
fn arrived(result: io::Result<usize>) -> io::Result<Option<usize>> {
    match result {
        Ok(count) => Ok(Some(count)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Writes to a socket that does not wait.
fn send(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match arrived(stream.write(bytes))? {
            Some(count) => bytes = &bytes[count..],
            None => thread::sleep(IDLE_PAUSE),
        }
    }
    Ok(())
}

/// Carries the bytes of a connection until one side closes it or the gateway's kernel gives up.
fn carry(mut gateway: TcpStream, server: SocketAddr, state: &State) -> io::Result<()> {
    let mut server = TcpStream::connect(server)?;
    for stream in [&gateway, &server] {
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
    }
    let mut buffer = vec![0; 64 << 10];
    // Bytes that have reached the server and are not acknowledged: they stay in the socket, so that
    // closing it resets the connection, as the gateway's kernel would.
    let mut unacknowledged = 0;
    let mut since: Option<Instant> = None;
    loop {
        let mut is_idle = true;
        if state.cut.load(Ordering::SeqCst) {
            match arrived(gateway.peek(&mut buffer))? {
                Some(0) => return Ok(()),
                Some(count) if count > unacknowledged => {
                    send(&mut server, &buffer[unacknowledged..count])?;
                    unacknowledged = count;
                    since.get_or_insert_with(Instant::now);
                    is_idle = false;
                }
                _ => {}
            }
            if since.is_some_and(|since| since.elapsed() >= USER_TIMEOUT) {
                return Ok(());
            }
        } else {
            since = None;
            if let Some(count) = arrived(gateway.read(&mut buffer))? {
                if count == 0 {
                    return Ok(());
                }
                let known = unacknowledged.min(count);
                unacknowledged -= known;
                send(&mut server, &buffer[known..count])?;
                is_idle = false;
            }
            if let Some(count) = arrived(server.read(&mut buffer))? {
                if count == 0 {
                    return Ok(());
                }
                send(&mut gateway, &buffer[..count])?;
                is_idle = false;
            }
        }
        if is_idle {
            thread::sleep(IDLE_PAUSE);
        }
    }
}
