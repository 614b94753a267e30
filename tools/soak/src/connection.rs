use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{sleep, timeout};

use crate::request::Batch;
use crate::response::{Response, take_response};

/// Time beyond a request's deadline within which it must end: 1 s that the platform allows, and the
/// start of a VM.
const MAX_LATENESS: Duration = Duration::from_secs(3);
/// Time that a caller allows for a new connection; a paused VM accepts none for as long.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a caller that reads nothing checks whether its connection has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Size and interval of slow reads.
const SLOW_READ: (usize, Duration) = (64, Duration::from_millis(10));
/// Time in which the VM must end a connection after a response that says so.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(7);
/// Time limit for the writes of a batch, of which each is preceded by a pause of 100 ms at most.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// How a request went.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// When its first byte was sent; `None` if none was.
    pub sent_at: Option<Instant>,
    /// When its last byte had been sent; `None` if it was not.
    pub written_at: Option<Instant>,
    /// Its response, and when that was read.
    pub answer: Option<(Response, Instant)>,
}

/// How a batch went.
#[derive(Debug, Default)]
pub struct BatchResult {
    /// Exchanges in the order of the requests.
    pub exchanges: Vec<Exchange>,
    /// When the connection ended, or a response said that it does; `None` if it can be used on.
    pub ended_at: Option<Instant>,
    /// Whether the last response said that no other one follows.
    pub closes: bool,
    /// Whether a response did not come in time.
    pub timed_out: bool,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// What the writing and the reading side of a batch share.
#[derive(Default)]
struct Progress {
    exchanges: Vec<Exchange>,
    has_ended: bool,
}

fn lock(progress: &Mutex<Progress>) -> std::sync::MutexGuard<'_, Progress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connection of a caller, which is used until the VM closes it.
pub struct Connection {
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
}

impl Connection {
    /// Connects to a VM.
    pub async fn open(vm: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(vm)).await??;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Connection { read, write })
    }

    /// Returns whether the VM has ended the connection.
    pub async fn has_ended(&self) -> bool {
        has_ended(&self.read).await
    }

    /// Sends the requests of a batch and reads the responses until all are there, one says that the
    /// connection ends, or it ends.
    pub async fn exchange(&mut self, batch: &Batch) -> BatchResult {
        let exchanges = vec![Exchange::default(); batch.requests.len()];
        let progress = Mutex::new(Progress { exchanges, has_ended: false });
        let writes = timeout(WRITE_TIMEOUT, write_batch(&mut self.write, batch, &progress));
        let (written, mut result) =
            tokio::join!(writes, read_batch(&mut self.read, batch, &progress));
        if written.is_err() {
            result.violations.push(format!("{}: cannot be written", batch.requests[0].id));
        }
        result.exchanges = lock(&progress).exchanges.clone();
        result
    }
}

/// Looks for the end of the connection without reading what comes before it.
async fn has_ended(read: &OwnedReadHalf) -> bool {
    let ready = timeout(Duration::from_millis(1), read.ready(Interest::READABLE)).await;
    ready.is_ok_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

async fn write_batch(write: &mut OwnedWriteHalf, batch: &Batch, progress: &Mutex<Progress>) {
    let bytes: Vec<u8> = batch.requests.iter().flat_map(|r| r.bytes.iter().copied()).collect();
    let mut at = 0;
    for (size, pause) in &batch.writes {
        if !pause.is_zero() {
            sleep(*pause).await;
        }
        let (from, to) = (at, at + size);
        at = to;
        {
            let mut progress = lock(progress);
            if progress.has_ended {
                return;
            }
            mark(&mut progress, batch, |exchange, start, _| {
                if start < to && exchange.sent_at.is_none() {
                    exchange.sent_at = Some(Instant::now());
                }
            });
        }
        if write.write_all(&bytes[from..to]).await.is_err() {
            return;
        }
        mark(&mut lock(progress), batch, |exchange, _, end| {
            if end <= to && exchange.written_at.is_none() {
                exchange.written_at = Some(Instant::now());
            }
        });
    }
}

/// Calls `update` with each exchange and the place of its request among the bytes of the batch.
fn mark(
    progress: &mut Progress,
    batch: &Batch,
    mut update: impl FnMut(&mut Exchange, usize, usize),
) {
    let mut start = 0;
    for (exchange, request) in progress.exchanges.iter_mut().zip(&batch.requests) {
        let end = start + request.bytes.len();
        update(exchange, start, end);
        start = end;
    }
}

/// Waits without reading; returns when the connection ended if it did.
async fn wait_unread(read: &OwnedReadHalf, duration: Duration) -> Option<Instant> {
    let start = Instant::now();
    let mut ended_at = None;
    while start.elapsed() < duration {
        if ended_at.is_none() && has_ended(read).await {
            ended_at = Some(Instant::now());
        }
        sleep(END_CHECK_INTERVAL.min(duration)).await;
    }
    ended_at
}

async fn read_batch(
    read: &mut OwnedReadHalf,
    batch: &Batch,
    progress: &Mutex<Progress>,
) -> BatchResult {
    let mut result = BatchResult::default();
    let pauses: Duration = batch.writes.iter().map(|(_, pause)| *pause).sum();
    result.ended_at = wait_unread(read, batch.read_after).await;
    let (mut buffer, mut answered, mut chunk) = (Vec::new(), 0, [0; 4096]);
    let mut since = Instant::now();
    while answered < batch.requests.len() && !result.closes {
        let id = &batch.requests[answered].id;
        match take_response(&mut buffer) {
            Err(error) => {
                result.violations.push(format!("{id}: no response in the protocol: {error}"));
                break;
            }
            Ok(Some(response)) => {
                since = Instant::now();
                result.closes = response.closes;
                lock(progress).exchanges[answered].answer = Some((response, since));
                answered += 1;
                continue;
            }
            Ok(None) => {}
        }
        let limit = batch.requests[answered].deadline + MAX_LATENESS + pauses;
        let size = if batch.reads_slowly { SLOW_READ.0 } else { chunk.len() };
        let left = limit.saturating_sub(since.elapsed());
        match timeout(left, read.read(&mut chunk[..size])).await {
            Err(_) => {
                result.violations.push(format!("{id}: not finished after {limit:?}"));
                result.timed_out = true;
                break;
            }
            Ok(Ok(0) | Err(_)) => {
                result.ended_at.get_or_insert_with(Instant::now);
                break;
            }
            Ok(Ok(count)) => buffer.extend_from_slice(&chunk[..count]),
        }
        if batch.reads_slowly {
            let ended_at = wait_unread(read, SLOW_READ.1).await;
            result.ended_at = result.ended_at.or(ended_at);
        }
    }
    if result.closes {
        result.ended_at.get_or_insert_with(Instant::now);
    }
    if result.ended_at.is_some() || result.timed_out || !result.violations.is_empty() {
        lock(progress).has_ended = true;
    }
    if result.closes {
        // The end is awaited, since another response could follow.
        // A reset ends the connection as well.
        if timeout(CLOSE_TIMEOUT, read.read_to_end(&mut buffer)).await.is_err() {
            result.violations.push(format!(
                "{}: open {CLOSE_TIMEOUT:?} after a response with `Connection: close`",
                batch.requests[answered - 1].id
            ));
        }
    }
    if answered > 0 && !buffer.is_empty() && (result.closes || answered == batch.requests.len()) {
        let id = &batch.requests[answered - 1].id;
        result.violations.push(format!("{id}: {} bytes behind its response", buffer.len()));
    }
    result
}
