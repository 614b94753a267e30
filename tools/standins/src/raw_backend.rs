use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::acceptor::lock;

/// Step of a response, byte by byte.
#[derive(Clone, Debug)]
pub enum RawStep {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Sends the same bytes again and again, with a pause between, until the peer closes.
    Repeat(Vec<u8>, Duration),
    /// Closes the connection; without it the next request is read from the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// What a raw backend server has observed.
#[derive(Clone, Debug, Default)]
pub struct RawObserved {
    /// Number of complete requests by request id.
    pub runs: BTreeMap<String, u32>,
    /// Number of complete requests by path and query.
    pub targets: BTreeMap<String, u32>,
    /// Connections accepted.
    pub opened: u32,
    /// Connections that have ended, on either side.
    pub closed: u32,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// `Repeat` steps under way.
    pub repeating: u32,
}

/// A request to a raw backend server.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Request id, in the header of either program.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Number of requests that the connection carried before this one.
    pub number: u32,
}

/// Builds the steps of the response to a request.
pub type Script = Arc<dyn Fn(&RawRequest) -> Vec<RawStep> + Send + Sync>;

/// A backend server whose responses are bytes of the test's choice. It stops when it is dropped.
pub struct RawBackend {
    address: SocketAddr,
    observed: Arc<Mutex<RawObserved>>,
    task: JoinHandle<()>,
}

impl Drop for RawBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawBackend {
    /// Serves a script on the listener.
    pub fn serve(listener: TcpListener, script: Script) -> io::Result<RawBackend> {
        let address = listener.local_addr()?;
        let observed: Arc<Mutex<RawObserved>> = Arc::default();
        let shared = Arc::clone(&observed);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                lock(&shared).opened += 1;
                let (script, shared) = (Arc::clone(&script), Arc::clone(&shared));
                tokio::spawn(async move {
                    // An error means that the peer has closed the connection.
                    let _ = serve_connection(stream, script, &shared).await;
                    lock(&shared).closed += 1;
                });
            }
        });
        Ok(RawBackend { address, observed, task })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it has observed so far.
    pub fn observed(&self) -> RawObserved {
        lock(&self.observed).clone()
    }
}

/// A signed response with a body, for a script.
pub fn raw_response(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: raw\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// A script of a healthy backend server of papayareeld, which sends these steps to requests with a
/// name: the end of their path.
pub fn healthy_script(
    steps: impl Fn(&str, &RawRequest) -> Vec<RawStep> + Send + Sync + 'static,
) -> Script {
    let json = |body: &str| {
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        vec![RawStep::Send(response.into_bytes())]
    };
    Arc::new(move |request| match request.target.rsplit('/').next().unwrap_or_default() {
        "healthz" => json(r#"{"healthy":true}"#),
        "load" => json(r#"{"busy":0,"queued":0,"draining":false}"#),
        name => steps(name, request),
    })
}

/// Reads a request; returns `None` at the end of the connection.
async fn read_request(
    stream: &mut TcpStream,
    read: &mut Vec<u8>,
    number: u32,
) -> io::Result<Option<RawRequest>> {
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(read).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let field = |name: &str| {
                let lines = text[..end].lines().filter_map(|line| line.split_once(':'));
                let mut values = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
                values.next().map(|(_, value)| value.trim().to_owned())
            };
            let length: usize =
                field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            if read.len() >= end + 4 + length {
                read.drain(..end + 4 + length);
                let id = field("request-id").or_else(|| field("x-request-id")).unwrap_or_default();
                let target = text.split(' ').nth(1).unwrap_or_default().to_owned();
                return Ok(Some(RawRequest { id, target, number }));
            }
        }
        match stream.read(&mut chunk).await? {
            0 => return Ok(None),
            count => read.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Sends the same bytes until the peer closes the connection.
async fn repeat(
    stream: &mut TcpStream,
    bytes: &[u8],
    pause: Duration,
    observed: &Mutex<RawObserved>,
) -> io::Result<()> {
    loop {
        stream.write_all(bytes).await?;
        lock(observed).sent_bytes += bytes.len() as u64;
        tokio::time::sleep(pause).await;
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    script: Script,
    observed: &Mutex<RawObserved>,
) -> io::Result<()> {
    let mut read = Vec::new();
    let mut number = 0;
    while let Some(request) = read_request(&mut stream, &mut read, number).await? {
        {
            let mut observed = lock(observed);
            *observed.runs.entry(request.id.clone()).or_default() += 1;
            *observed.targets.entry(request.target.clone()).or_default() += 1;
        }
        for step in script(&request) {
            match step {
                RawStep::Send(bytes) => stream.write_all(&bytes).await?,
                RawStep::Wait(time) => tokio::time::sleep(time).await,
                RawStep::Repeat(bytes, pause) => {
                    lock(observed).repeating += 1;
                    let result = repeat(&mut stream, &bytes, pause, observed).await;
                    lock(observed).repeating -= 1;
                    return result;
                }
                RawStep::Close => return Ok(()),
                RawStep::Reset => return stream.set_zero_linger(),
            }
        }
        number += 1;
    }
    Ok(())
}
