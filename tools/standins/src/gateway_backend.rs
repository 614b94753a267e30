use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::door::lock;

/// Time in which a dying backend server closes its listener.
const CLOSING: Duration = Duration::from_millis(20);

/// How a backend server treats requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackendMode {
    /// Answers them.
    #[default]
    Normal,
    /// Answers 500 at once.
    Failing,
    /// Refuses them unrun although it has room.
    Shedding,
    /// Never answers.
    Hanging,
    /// Runs them and breaks the connection in place of an answer.
    LosingResponses,
    /// Answers with the id of another request.
    WrongRequestId,
    /// Answers with success and without its signature.
    Unsigned,
    /// Dies when it begins to run a request: breaks the connection and accepts no other.
    Crashing,
}

/// What a backend server saw.
#[derive(Clone, Debug, Default)]
pub struct ObservedRequests {
    /// Runs by request id.
    pub runs: BTreeMap<String, u32>,
    /// Headers of the last request.
    pub headers: BTreeMap<String, String>,
}

#[derive(Default)]
struct Inner {
    mode: BackendMode,
    work: Duration,
    seen: ObservedRequests,
    /// Requests that it works on.
    at_work: u32,
    /// Set when it has died.
    dead: Arc<Notify>,
}

/// A request that a backend server works on, until this is dropped.
struct AtWork(Arc<Mutex<Inner>>);

impl AtWork {
    fn begin(inner: &Arc<Mutex<Inner>>) -> AtWork {
        lock(inner).at_work += 1;
        AtWork(Arc::clone(inner))
    }
}

impl Drop for AtWork {
    fn drop(&mut self) {
        lock(&self.0).at_work -= 1;
    }
}

/// A running backend server. It stops when this handle is dropped.
pub struct GatewayBackend {
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    task: JoinHandle<()>,
}

impl Drop for GatewayBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl GatewayBackend {
    /// Serves the backend server `id` on the listener; each request takes `work`.
    pub fn serve(listener: TcpListener, id: &str, work: Duration) -> io::Result<GatewayBackend> {
        let address = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner { work, ..Inner::default() }));
        let (shared, id): (_, Arc<str>) = (Arc::clone(&inner), id.into());
        let dead = Arc::clone(&lock(&inner).dead);
        let task = tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(_) => return,
                    },
                    () = dead.notified() => return,
                };
                let (shared, id) = (Arc::clone(&shared), Arc::clone(&id));
                let service = service_fn(move |request| {
                    let (shared, id) = (Arc::clone(&shared), Arc::clone(&id));
                    async move { answer(&shared, &id, request).await }
                });
                tokio::spawn(async move {
                    // A connection that a mode breaks ends with an error.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(GatewayBackend { address, inner, task })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it treats requests from now on.
    pub fn set_mode(&self, mode: BackendMode) {
        lock(&self.inner).mode = mode;
    }

    /// What it saw so far.
    pub fn observed(&self) -> ObservedRequests {
        lock(&self.inner).seen.clone()
    }

    /// Requests that it works on now.
    pub fn in_flight(&self) -> u32 {
        lock(&self.inner).at_work
    }

    /// Requests that it ran.
    pub fn run_count(&self) -> u32 {
        lock(&self.inner).seen.runs.values().sum()
    }
}

type Answer = Response<Full<Bytes>>;

fn reply(status: StatusCode, headers: &[(&'static str, &str)], body: &str) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())));
    *response.status_mut() = status;
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(*name, value);
        }
    }
    response
}

fn note(inner: &Mutex<Inner>, request: &Request<Incoming>) {
    let text = |v: &HeaderValue| String::from_utf8_lossy(v.as_bytes()).into_owned();
    let headers = request.headers().iter().map(|(n, v)| (n.as_str().to_owned(), text(v)));
    lock(inner).seen.headers = headers.collect();
}

async fn answer(
    inner: &Arc<Mutex<Inner>>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Answer, io::Error> {
    note(inner, &request);
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (request_id, expected) = (header("request-id"), header("expected-instance"));
    if !expected.is_empty() && expected != id {
        let headers = [("instance-id", id)];
        return Ok(reply(StatusCode::MISDIRECTED_REQUEST, &headers, ""));
    }
    let (mode, work) = {
        let inner = lock(inner);
        (inner.mode, inner.work)
    };
    let echo = ("request-id", request_id.as_str());
    if mode == BackendMode::Shedding {
        let headers = [echo, ("not-executed", "1"), ("server-load", "0,0,4")];
        return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &headers, ""));
    }
    // The body is read whole before the request runs.
    let path = request.uri().to_string();
    let body = request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    *lock(inner).seen.runs.entry(request_id.clone()).or_default() += 1;
    let _at_work = AtWork::begin(inner);
    let signature = format!("{id}.{}", body.len());
    let signed = ("response-signature", signature.as_str());
    match mode {
        BackendMode::Failing => {
            Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, &[echo, signed], "gray"))
        }
        BackendMode::LosingResponses => Err(io::Error::from(io::ErrorKind::ConnectionReset)),
        BackendMode::Hanging => std::future::pending().await,
        BackendMode::Crashing => {
            lock(inner).dead.notify_one();
            // A process that dies closes its listener no later than its connections.
            tokio::time::sleep(CLOSING).await;
            Err(io::Error::from(io::ErrorKind::ConnectionReset))
        }
        BackendMode::WrongRequestId => {
            let crossed = ("request-id", "another");
            Ok(reply(StatusCode::OK, &[crossed, signed], "crossed"))
        }
        BackendMode::Unsigned => Ok(reply(StatusCode::OK, &[echo], "unsigned")),
        BackendMode::Normal | BackendMode::Shedding => {
            tokio::time::sleep(work).await;
            let load = ("server-load", "1,0,4");
            Ok(reply(StatusCode::OK, &[echo, signed, load], &path))
        }
    }
}
