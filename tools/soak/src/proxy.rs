use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How a proxy treats the bytes of its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum LinkMode {
    /// Forwards them.
    Normal,
    /// Forwards them with a delay.
    Slow,
    /// Forwards the bytes of the client and drops those of the server.
    DropResponses,
    /// Drops all bytes and keeps the connections open.
    DropAll,
    /// Resets connections.
    Reset,
}

const LINK_MODES: [LinkMode; 5] =
    [LinkMode::Normal, LinkMode::Slow, LinkMode::DropResponses, LinkMode::DropAll, LinkMode::Reset];
/// Delay of each chunk in the mode `Slow`.
const SLOW_DELAY: Duration = Duration::from_millis(150);
/// Interval at which an idle connection checks for a change of the mode.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// TCP proxy in front of a backend server. It stops when this handle is dropped.
pub struct Proxy {
    /// Address that is registered for gateways.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn load_mode(mode: &AtomicU8) -> LinkMode {
    LINK_MODES[usize::from(mode.load(Ordering::Relaxed)) % LINK_MODES.len()]
}

impl Proxy {
    /// Serves a proxy in front of `target` on the listener.
    pub fn serve(listener: TcpListener, target: SocketAddr) -> std::io::Result<Proxy> {
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(LinkMode::Normal as u8));
        let shared = Arc::clone(&mode);
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if load_mode(&shared) == LinkMode::Reset {
                    set_reset_on_close(&client);
                    continue;
                }
                let mode = Arc::clone(&shared);
                tokio::spawn(async move {
                    if let Ok(server) = TcpStream::connect(target).await {
                        forward_bytes(client, server, &mode).await;
                    }
                });
            }
        });
        Ok(Proxy { address, mode, task })
    }

    /// Sets the mode, also for open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

fn set_reset_on_close(stream: &TcpStream) {
    // With a linger time of zero, closing the socket sends a reset instead of a normal close.
    let _ = stream.set_zero_linger();
}

async fn forward_bytes(mut client: TcpStream, mut server: TcpStream, mode: &AtomicU8) {
    let (mut up, mut down) = (vec![0; 16_384], vec![0; 16_384]);
    loop {
        let (from_client, count) = tokio::select! {
            read = client.read(&mut up) => (true, read),
            read = server.read(&mut down) => (false, read),
            () = tokio::time::sleep(MODE_CHECK_INTERVAL) => {
                if load_mode(mode) == LinkMode::Reset {
                    return set_reset_on_close(&client);
                }
                continue;
            }
        };
        let Ok(count @ 1..) = count else { return };
        let sent = match (load_mode(mode), from_client) {
            (LinkMode::Reset, _) => return set_reset_on_close(&client),
            (LinkMode::DropAll, _) | (LinkMode::DropResponses, false) => Ok(()),
            (current, from_client) => {
                if current == LinkMode::Slow {
                    tokio::time::sleep(SLOW_DELAY).await;
                }
                if from_client {
                    server.write_all(&up[..count]).await
                } else {
                    client.write_all(&down[..count]).await
                }
            }
        };
        if sent.is_err() {
            return;
        }
    }
}
