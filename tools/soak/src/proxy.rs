use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Line {
    /// Passes them on.
    Sound,
    /// Passes them on later.
    Slow,
    /// Passes those of the client on and drops the answers.
    OneWay,
    /// Drops all of them and keeps the connections open.
    Silent,
    /// Resets connections.
    Reset,
}

const LINES: [Line; 5] = [Line::Sound, Line::Slow, Line::OneWay, Line::Silent, Line::Reset];
/// Time by which a slow line holds bytes.
const HOLD: Duration = Duration::from_millis(150);
/// Time between two looks at the mode while no byte comes.
const LOOK: Duration = Duration::from_millis(50);

/// A proxy before a backend server. It stops when this handle is dropped.
pub struct Proxy {
    /// Address that gateways are told.
    pub address: SocketAddr,
    line: Arc<AtomicU8>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn line_of(line: &AtomicU8) -> Line {
    LINES[usize::from(line.load(Ordering::Relaxed)) % LINES.len()]
}

impl Proxy {
    /// Serves a proxy before `target` on the listener.
    pub fn serve(listener: TcpListener, target: SocketAddr) -> std::io::Result<Proxy> {
        let address = listener.local_addr()?;
        let line = Arc::new(AtomicU8::new(Line::Sound as u8));
        let shared = Arc::clone(&line);
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if line_of(&shared) == Line::Reset {
                    reset(&client);
                    continue;
                }
                let line = Arc::clone(&shared);
                tokio::spawn(async move {
                    if let Ok(server) = TcpStream::connect(target).await {
                        carry(client, server, &line).await;
                    }
                });
            }
        });
        Ok(Proxy { address, line, task })
    }

    /// Sets what it does with bytes from now on, on open connections too.
    pub fn set(&self, line: Line) {
        self.line.store(line as u8, Ordering::Relaxed);
    }
}

fn reset(stream: &TcpStream) {
    // A linger of zero resets the connection; without it the connection closes in order.
    let _ = stream.set_zero_linger();
}

async fn carry(mut client: TcpStream, mut server: TcpStream, line: &AtomicU8) {
    let (mut up, mut down) = (vec![0; 16_384], vec![0; 16_384]);
    loop {
        let (from_client, count) = tokio::select! {
            read = client.read(&mut up) => (true, read),
            read = server.read(&mut down) => (false, read),
            () = tokio::time::sleep(LOOK) => {
                if line_of(line) == Line::Reset {
                    return reset(&client);
                }
                continue;
            }
        };
        let Ok(count @ 1..) = count else { return };
        let sent = match (line_of(line), from_client) {
            (Line::Reset, _) => return reset(&client),
            (Line::Silent, _) | (Line::OneWay, false) => Ok(()),
            (mode, from_client) => {
                if mode == Line::Slow {
                    tokio::time::sleep(HOLD).await;
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
