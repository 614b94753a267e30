use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// Time after which the sender of bytes that are not acknowledged gives up. It is the timeout that
/// the gateway sets on its connections to backend servers (TCP_USER_TIMEOUT).
const USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Length of the listener's queue; the kernel keeps one connection more.
const BACKLOG: u32 = 1;
/// Time after which a connection that is not established shows that the queue is full.
const FULL_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of the connections that fill the queue.
const MAX_FILLERS: usize = 16;

/// The link between the gateways and one backend server.
///
/// While it is cut in the direction from the backend server, requests still reach the server, but
/// nothing comes back: no response and no acknowledgement. The gateway's kernel sees the same as
/// on a real cut of that direction: bytes that stay unacknowledged, so that it breaks the
/// connection `USER_TIMEOUT` after they were sent, and opening packets without an answer.
pub struct Link {
    address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
}

impl Link {
    /// Opens a link to `server` on an address of its own.
    pub fn open(address: SocketAddr, server: SocketAddr) -> io::Result<Link> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let cut = Arc::new(watch::Sender::new(false));
        tokio::spawn(accept(listener, address, server, Arc::clone(&cut)));
        Ok(Link { address, cut })
    }

    /// Address at which the gateways reach the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the direction from the backend server, or restores it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    server: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
) {
    let mut state = cut.subscribe();
    loop {
        if *state.borrow_and_update() {
            let fillers = fill_queue(address).await;
            while *state.borrow_and_update() {
                if state.changed().await.is_err() {
                    return;
                }
            }
            // What waited in the queue came from the gateways only after these.
            for _ in 0..fillers.len() {
                let _ = timeout(FULL_AFTER, listener.accept()).await;
            }
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = state.changed() => continue,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(carry(stream, server, cut.subscribe()));
        }
    }
}

/// Fills the queue of the listener, so that the kernel drops further opening packets.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS {
        match timeout(FULL_AFTER, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Carries the bytes of a connection until one side closes it or the gateway's kernel gives up.
async fn carry(mut gateway: TcpStream, server: SocketAddr, mut cut: watch::Receiver<bool>) {
    let Ok(mut server) = TcpStream::connect(server).await else { return };
    let _ = (gateway.set_nodelay(true), server.set_nodelay(true));
    let (mut from_gateway, mut from_server) = ([0; 8192], [0; 8192]);
    // When the first byte that was not acknowledged was sent.
    let mut unacknowledged: Option<Instant> = None;
    loop {
        let is_cut = *cut.borrow_and_update();
        let give_up = unacknowledged.filter(|_| is_cut).map(|since| since + USER_TIMEOUT);
        tokio::select! {
            read = gateway.read(&mut from_gateway) => match read {
                Ok(count @ 1..) => {
                    if is_cut {
                        unacknowledged.get_or_insert_with(Instant::now);
                    }
                    if server.write_all(&from_gateway[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            read = server.read(&mut from_server), if !is_cut => match read {
                Ok(count @ 1..) => {
                    unacknowledged = None;
                    if gateway.write_all(&from_server[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            () = sleep_until(give_up.unwrap_or_else(Instant::now)), if give_up.is_some() => {
                // The kernel of the gateway breaks the connection: a reset, not an end.
                let _ = gateway.set_zero_linger();
                return;
            }
            changed = cut.changed() => if changed.is_err() {
                return;
            },
        }
    }
}
