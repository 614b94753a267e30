use std::time::Duration;

use harness::{GATEWAY_HOST, GATEWAY_KEY};
use rand::Rng;
use rand::rngs::SmallRng;

/// Maximum size of a body, below the smallest limit of the configurations in use.
const MAX_BODY_BYTES: usize = 900;
/// Maximum number of requests that a caller sends ahead.
const MAX_BATCH: usize = 6;
/// Time that backend servers need for a batch, after which only short requests are drawn. A run
/// waits for the batches that have begun.
const MAX_WORK_MS: u64 = 6000;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: String,
    /// Whether it is a POST to the route whose requests run at most once.
    pub is_write: bool,
    /// Path, which is also the body of the response.
    pub path: String,
    /// Time that a backend server needs, in milliseconds.
    work_ms: u64,
    /// Time that the caller allows.
    pub deadline: Duration,
    /// Time that the caller and the route allow, whichever is less.
    pub budget: Duration,
    /// Size of the body.
    pub body_bytes: usize,
    /// Head and body.
    pub bytes: Vec<u8>,
}

/// Draws a request: reads and writes of up to 2.8 s, and long reads of up to 5.5 s. Most are short.
/// All are if no time is left.
fn draw_request(random: &mut SmallRng, id: String, left_ms: u64) -> Request {
    let work_ms = match random.random_range(0..10) {
        0..7 => random.random_range(5..50),
        _ if left_ms == 0 => random.random_range(5..50),
        7..9 => random.random_range(300..1500),
        _ => random.random_range(2000..2800),
    };
    // Timeouts of the routes: 3 s, and 10 s for long reads.
    let (is_write, route, work_ms, deadline_ms, budget_ms) = match random.random_range(0..5) {
        0..2 => (true, "write", work_ms, 4000, 3000),
        2..4 => (false, "read", work_ms, 4000, 3000),
        _ => (false, "long", 2 * work_ms.min(2750), 10_000, 10_000),
    };
    let path = format!("/{route}/work-{work_ms}/{id}");
    let method = if is_write { "POST" } else { "GET" };
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {GATEWAY_HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {GATEWAY_KEY}\r\n"
    )
    .into_bytes();
    let body_bytes = if is_write { append_body(random, &mut bytes) } else { 0 };
    if !is_write {
        bytes.extend_from_slice(b"\r\n");
    }
    Request {
        id,
        is_write,
        path,
        work_ms,
        deadline: Duration::from_millis(deadline_ms),
        budget: Duration::from_millis(budget_ms),
        body_bytes,
        bytes,
    }
}

/// Appends the rest of the head and a body with a length or in chunks; returns its size.
fn append_body(random: &mut SmallRng, bytes: &mut Vec<u8>) -> usize {
    let size = match random.random_range(0..3) {
        0 => 4,
        1 => random.random_range(0..60),
        _ => random.random_range(60..=MAX_BODY_BYTES),
    };
    // Bodies with the end of a head, a chunk or a request line in them would mislead a VM that
    // looks for the next request without regard to the length.
    let pattern = b"text\r\n\r\n0\r\n\r\nGET /read/ HTTP/1.1\r\n\r\n";
    let body: Vec<u8> = pattern.iter().copied().cycle().take(size).collect();
    if random.random_bool(0.5) {
        bytes.extend_from_slice(format!("Content-Length: {size}\r\n\r\n").as_bytes());
        bytes.extend_from_slice(&body);
        return size;
    }
    bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    let mut rest = &body[..];
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(random.random_range(1..=rest.len()));
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        rest = after;
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    size
}

/// Requests to send on one connection, and how.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Requests in order.
    pub requests: Vec<Request>,
    /// Sizes of the writes, each with the pause before it. Their sum is the size of all requests.
    pub writes: Vec<(usize, Duration)>,
    /// Time during which the caller reads nothing.
    pub read_after: Duration,
    /// Whether the caller reads few bytes at a time, with pauses.
    pub reads_slowly: bool,
}

/// Draws requests: half of the time one, and otherwise 2 to 6 that are sent ahead. `id` names the
/// batch.
pub fn draw_batch(random: &mut SmallRng, id: &str) -> Batch {
    let count = if random.random_bool(0.5) { 1 } else { random.random_range(2..=MAX_BATCH) };
    let mut left_ms = MAX_WORK_MS;
    let mut draw = |number| {
        let request = draw_request(random, format!("{id}-{number}"), left_ms);
        left_ms = left_ms.saturating_sub(request.work_ms);
        request
    };
    let requests: Vec<_> = (0..count).map(&mut draw).collect();
    let sizes = requests.iter().map(|request| request.bytes.len());
    let mut writes = Vec::new();
    match random.random_range(0..4) {
        // All at once.
        0..2 => writes.push((sizes.sum(), Duration::ZERO)),
        // Each request on its own.
        2 => writes.extend(sizes.map(|size| (size, draw_pause(random)))),
        // Cut at random places, in heads and in bodies.
        _ => {
            for size in sizes {
                let cut = random.random_range(0..=size);
                let second = random.random_range(cut..=size);
                for size in [cut, second - cut, size - second] {
                    writes.push((size, draw_pause(random)));
                }
            }
        }
    }
    let read_after_ms = if random.random_bool(0.15) { random.random_range(0..1500) } else { 0 };
    Batch {
        requests,
        writes,
        read_after: Duration::from_millis(read_after_ms),
        reads_slowly: random.random_bool(0.15),
    }
}

fn draw_pause(random: &mut SmallRng) -> Duration {
    Duration::from_millis(if random.random_bool(0.5) { 0 } else { random.random_range(0..100) })
}
