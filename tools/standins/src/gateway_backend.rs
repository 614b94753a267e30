use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

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

use crate::acceptor::lock;
use crate::wire::NOT_RUN_HEADER;

/// Time between a crash and the close of the connection, in which the listener closes.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(20);

/// Header with the requests a second that a backend server takes from all VMs together.
const LIMIT_HEADER: &str = "server-limit";

/// How a backend server handles requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackendMode {
    /// Runs them and responds.
    #[default]
    Normal,
    /// Responds with 500 at once.
    Failing,
    /// Refuses them without running them, although it has free slots.
    Shedding,
    /// Never responds.
    Hanging,
    /// Runs them and closes the connection without a response.
    LosingResponses,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds with success, but without its signature.
    Unsigned,
    /// Responds with success, but names no request.
    NoRequestId,
    /// Runs them and responds with 503, without the header that says it did not run them.
    MisleadingStatus,
    /// Runs them, and says in each response that it is leaving.
    Leaving,
    /// Turns them away and asks for a pause of 1.5 s.
    Pausing,
    /// Crashes when it begins to run a request: closes the connection and accepts no other one.
    Crashing,
}

/// Requests that a backend server received.
#[derive(Clone, Debug, Default)]
pub struct ObservedRequests {
    /// Number of runs by request id.
    pub runs: BTreeMap<String, u32>,
    /// Headers of the last request.
    pub headers: BTreeMap<String, String>,
    /// Time of each request, whether it was run or not.
    pub arrivals: Vec<Instant>,
    /// Bytes of the bodies of all requests that were run.
    pub body_bytes: usize,
}

#[derive(Default)]
struct State {
    mode: BackendMode,
    /// Values of the request limit that it names in its responses.
    limits: Vec<String>,
    service_time: Duration,
    observed: ObservedRequests,
    /// Requests in flight.
    in_flight: u32,
    /// Notified when the server crashes.
    crashed: Arc<Notify>,
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Arc<Mutex<State>>);

impl InFlightGuard {
    fn begin(state: &Arc<Mutex<State>>) -> InFlightGuard {
        lock(state).in_flight += 1;
        InFlightGuard(Arc::clone(state))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        lock(&self.0).in_flight -= 1;
    }
}

/// A running backend server. It stops when this handle is dropped.
pub struct GatewayBackend {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for GatewayBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl GatewayBackend {
    /// Serves the backend server `id` on the listener; each request takes `service_time`.
    pub fn serve(
        listener: TcpListener,
        id: &str,
        service_time: Duration,
    ) -> io::Result<GatewayBackend> {
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { service_time, ..State::default() }));
        let (shared, id): (_, Arc<str>) = (Arc::clone(&state), id.into());
        let crashed = Arc::clone(&lock(&state).crashed);
        let task = tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(_) => return,
                    },
                    () = crashed.notified() => return,
                };
                let (shared, id) = (Arc::clone(&shared), Arc::clone(&id));
                let service = service_fn(move |request| {
                    let (shared, id) = (Arc::clone(&shared), Arc::clone(&id));
                    async move { handle_request(&shared, &id, request).await }
                });
                tokio::spawn(async move {
                    // Modes that close the connection end it with an error.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(GatewayBackend { address, state, task })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it handles requests from now on.
    pub fn set_mode(&self, mode: BackendMode) {
        lock(&self.state).mode = mode;
    }

    /// Sets the values of the request limit that it names in its responses from now on; none if empty.
    /// It goes on serving beyond its limit.
    pub fn set_limits(&self, limits: &[&str]) {
        lock(&self.state).limits = limits.iter().map(|limit| (*limit).to_owned()).collect();
    }

    /// Returns the requests received so far.
    pub fn observed(&self) -> ObservedRequests {
        lock(&self.state).observed.clone()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        lock(&self.state).in_flight
    }

    /// Returns how many requests it has run.
    pub fn run_count(&self) -> u32 {
        lock(&self.state).observed.runs.values().sum()
    }
}

/// Service time that a path states in a segment such as `work-1500`, in milliseconds.
fn stated_time(path: &str) -> Option<Duration> {
    let stated = path.split('/').find_map(|segment| segment.strip_prefix("work-"))?;
    stated.parse().ok().map(Duration::from_millis)
}

type BackendResponse = Response<Full<Bytes>>;

fn build_response(
    status: StatusCode,
    headers: &[(&'static str, &str)],
    body: &str,
) -> BackendResponse {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())));
    *response.status_mut() = status;
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(*name, value);
        }
    }
    response
}

fn record_headers(state: &Mutex<State>, request: &Request<Incoming>) {
    let text = |v: &HeaderValue| String::from_utf8_lossy(v.as_bytes()).into_owned();
    let headers = request.headers().iter().map(|(n, v)| (n.as_str().to_owned(), text(v)));
    let mut state = lock(state);
    state.observed.headers = headers.collect();
    state.observed.arrivals.push(Instant::now());
}

async fn handle_request(
    state: &Arc<Mutex<State>>,
    id: &str,
    request: Request<Incoming>,
) -> Result<BackendResponse, io::Error> {
    record_headers(state, &request);
    let mut response = respond(state, id, request).await?;
    for limit in &lock(state).limits {
        if let Ok(value) = HeaderValue::from_bytes(limit.as_bytes()) {
            response.headers_mut().append(LIMIT_HEADER, value);
        }
    }
    Ok(response)
}

async fn respond(
    state: &Arc<Mutex<State>>,
    id: &str,
    request: Request<Incoming>,
) -> Result<BackendResponse, io::Error> {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (request_id, expected) = (header("request-id"), header("expected-instance"));
    if !expected.is_empty() && expected != id {
        let headers = [("instance-id", id)];
        return Ok(build_response(StatusCode::MISDIRECTED_REQUEST, &headers, ""));
    }
    let (mode, service_time) = {
        let state = lock(state);
        (state.mode, state.service_time)
    };
    let id_header = ("request-id", request_id.as_str());
    if mode == BackendMode::Shedding {
        let headers = [id_header, (NOT_RUN_HEADER, "1"), ("server-load", "0,0,4")];
        return Ok(build_response(StatusCode::SERVICE_UNAVAILABLE, &headers, ""));
    }
    if mode == BackendMode::Pausing {
        let headers = [id_header, (NOT_RUN_HEADER, "1"), ("retry-after", "1.5")];
        return Ok(build_response(StatusCode::SERVICE_UNAVAILABLE, &headers, ""));
    }
    // The complete body is read before the request runs.
    let path = request.uri().to_string();
    let body = request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    {
        let observed = &mut lock(state).observed;
        *observed.runs.entry(request_id.clone()).or_default() += 1;
        observed.body_bytes += body.len();
    }
    let _in_flight = InFlightGuard::begin(state);
    let signature = format!("{id}.{}", body.len());
    let signature_header = ("response-signature", signature.as_str());
    match mode {
        BackendMode::Failing => Ok(build_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            &[id_header, signature_header],
            "gray",
        )),
        BackendMode::LosingResponses => Err(io::Error::from(io::ErrorKind::ConnectionReset)),
        BackendMode::Hanging => std::future::pending().await,
        BackendMode::Crashing => {
            lock(state).crashed.notify_one();
            // A process that crashes closes its listener no later than its connections.
            tokio::time::sleep(LISTENER_CLOSE_TIME).await;
            Err(io::Error::from(io::ErrorKind::ConnectionReset))
        }
        BackendMode::WrongRequestId => {
            let wrong_id = ("request-id", "another");
            Ok(build_response(StatusCode::OK, &[wrong_id, signature_header], "crossed"))
        }
        BackendMode::Unsigned => Ok(build_response(StatusCode::OK, &[id_header], "unsigned")),
        BackendMode::NoRequestId => {
            Ok(build_response(StatusCode::OK, &[signature_header], "of no request"))
        }
        BackendMode::MisleadingStatus => Ok(build_response(
            StatusCode::SERVICE_UNAVAILABLE,
            &[id_header, signature_header],
            "it ran",
        )),
        BackendMode::Leaving => {
            let leaving = ("server-leaving", "1");
            Ok(build_response(StatusCode::OK, &[id_header, signature_header, leaving], &path))
        }
        BackendMode::Normal | BackendMode::Shedding | BackendMode::Pausing => {
            tokio::time::sleep(stated_time(&path).unwrap_or(service_time)).await;
            let load = ("server-load", "1,0,4");
            Ok(build_response(StatusCode::OK, &[id_header, signature_header, load], &path))
        }
    }
}
