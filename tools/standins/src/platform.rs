use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kernel::{Platform, PlatformError, Transaction, VmEntry};
use percent_encoding::percent_decode_str;
use platform_client::MemoryPlatform;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Server;
use crate::acceptor::{Acceptor, Connection, lock};
use crate::fault_switches;
use crate::response::{ConnectionAborted, HandlerResult, build_response, full_body, json_response};
use crate::server::{Service, query_parameter};

/// Limit of a request body.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Rate limits of the platform stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Rows and objects that may be written or deleted per second, and in one burst.
    pub writes_per_s: f64,
    /// Reads, scans and lists allowed per second, and in one burst.
    pub reads_per_s: f64,
}

impl Default for Options {
    fn default() -> Self {
        // The platform allows several hundred writes and about 2,000 reads a second.
        Options { writes_per_s: 400.0, reads_per_s: 2000.0 }
    }
}

/// Faults that are switched by `POST /control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct FaultSwitches {
    /// Refuse connections.
    refuse: bool,
    /// Accept requests and never respond; they have no effect.
    hang: bool,
    /// Delay of every request. A commit takes effect even if its sender has disconnected by then.
    slow_ms: u64,
    /// Number of the next commits that take effect and whose response is lost.
    replies_lost: u32,
    /// Age of the list of VMs that is returned.
    list_lag_ms: u64,
    /// Rate limit of writes.
    writes_per_s: f64,
    /// Rate limit of reads.
    reads_per_s: f64,
}

/// Token bucket that holds the tokens of one second.
struct TokenBucket {
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    fn try_take(&mut self, cost: f64, rate_per_s: f64) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.updated_at).as_secs_f64() * rate_per_s;
        self.tokens = (self.tokens + refill).min(rate_per_s);
        self.updated_at = now;
        // The cost is capped: a transaction that costs more than the bucket holds would never pass.
        let cost = cost.min(rate_per_s);
        let enough = self.tokens >= cost;
        if enough {
            self.tokens -= cost;
        }
        enough
    }
}

#[derive(Default)]
struct RefusedCounts {
    reads: u64,
    writes: u64,
}

struct PlatformService {
    memory: MemoryPlatform,
    platform: Platform,
    switches: watch::Sender<FaultSwitches>,
    acceptor: Arc<Acceptor>,
    writes: Mutex<TokenBucket>,
    reads: Mutex<TokenBucket>,
    refused: Mutex<RefusedCounts>,
}

/// Serves the platform's HTTP protocol on the listener. Must be called within a Tokio runtime.
pub fn serve(listener: TcpListener, options: Options) -> io::Result<Server> {
    let Options { writes_per_s, reads_per_s } = options;
    let memory = MemoryPlatform::new();
    let acceptor = Arc::new(Acceptor::new(usize::MAX));
    let switches = FaultSwitches { writes_per_s, reads_per_s, ..FaultSwitches::default() };
    let full_bucket = |tokens| Mutex::new(TokenBucket { tokens, updated_at: Instant::now() });
    let service = PlatformService {
        platform: memory.open(),
        memory,
        switches: watch::channel(switches).0,
        acceptor: acceptor.clone(),
        writes: full_bucket(writes_per_s),
        reads: full_bucket(reads_per_s),
        refused: Mutex::default(),
    };
    Server::start(listener, Arc::new(service), acceptor)
}

impl PlatformService {
    fn charge_read(&self) -> Result<(), PlatformError> {
        let rate_per_s = self.switches.borrow().reads_per_s;
        if lock(&self.reads).try_take(1.0, rate_per_s) {
            return Ok(());
        }
        lock(&self.refused).reads += 1;
        Err(PlatformError::Throttled)
    }

    fn charge_writes(&self, rows: usize) -> Result<(), PlatformError> {
        let rate_per_s = self.switches.borrow().writes_per_s;
        if lock(&self.writes).try_take(rows.max(1) as f64, rate_per_s) {
            return Ok(());
        }
        lock(&self.refused).writes += 1;
        Err(PlatformError::Throttled)
    }

    async fn handle_call(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<HandlerResult, PlatformError> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body =
            body.map_err(|error| PlatformError::InvalidResponse(error.to_string().into()))?;
        let body = body.to_bytes();
        let parameter = |name| query_parameter(&head.uri, name).unwrap_or_default();
        let path = head.uri.path();
        if let Some(name) = path.strip_prefix("/objects/") {
            let name = percent_decode_str(name).decode_utf8_lossy();
            return self.handle_object(&head.method, &name, body.into()).await;
        }
        Ok(match (&head.method, path) {
            (&Method::GET, "/table/row") => {
                self.charge_read()?;
                match self.platform.table.read(&parameter("key")).await? {
                    Some(row) => json_response(StatusCode::OK, &row),
                    None => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such row"})),
                }
            }
            (&Method::GET, "/table/scan") => {
                self.charge_read()?;
                let limit = parameter("limit").parse().unwrap_or(1000);
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                json_response(
                    StatusCode::OK,
                    &self.platform.table.scan(&prefix, &after, limit).await?,
                )
            }
            (&Method::POST, "/table/commit") => {
                let transaction: Transaction = parse_json(&body)?;
                self.charge_writes(transaction.puts.len() + transaction.deletes.len())?;
                let version = self.platform.table.commit(&transaction).await?;
                json_response(StatusCode::OK, &json!({"version": version}))
            }
            (&Method::GET, "/objects") => {
                self.charge_read()?;
                json_response(
                    StatusCode::OK,
                    &self.platform.objects.list(&parameter("prefix")).await?,
                )
            }
            (&Method::GET, "/vms") => {
                json_response(StatusCode::OK, &self.platform.vms.list().await?)
            }
            (&Method::POST, "/vms") => {
                let entry: VmEntry = parse_json(&body)?;
                self.platform.vms.announce(&entry).await?;
                json_response(StatusCode::OK, &json!({}))
            }
            _ => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        })
    }

    async fn handle_object(
        &self,
        method: &Method,
        name: &str,
        body: Vec<u8>,
    ) -> Result<HandlerResult, PlatformError> {
        Ok(match *method {
            Method::GET => {
                self.charge_read()?;
                match self.platform.objects.get(name).await? {
                    Some(bytes) => Ok(build_response(StatusCode::OK, full_body(bytes))),
                    None => {
                        json_response(StatusCode::NOT_FOUND, &json!({"error": "no such object"}))
                    }
                }
            }
            Method::PUT => {
                self.charge_writes(1)?;
                self.platform.objects.put(name, body).await?;
                json_response(StatusCode::OK, &json!({}))
            }
            Method::DELETE => {
                self.charge_writes(1)?;
                self.platform.objects.delete(name).await?;
                json_response(StatusCode::OK, &json!({}))
            }
            _ => json_response(
                StatusCode::METHOD_NOT_ALLOWED,
                &json!({"error": "GET, PUT or DELETE"}),
            ),
        })
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::InvalidResponse(error.to_string().into()))
}

impl Service for PlatformService {
    fn handle(
        self: Arc<Self>,
        _connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, HandlerResult> {
        async move {
            if self.switches.borrow().hang {
                let mut switches = self.switches.subscribe();
                let ended = switches.wait_for(|switches| !switches.hang).await;
                drop(ended);
                return Err(ConnectionAborted);
            }
            // Runs on a task of its own, so that a slow commit takes effect even after its sender has
            // closed the connection.
            let done =
                tokio::spawn(self.handle_call(request)).await.map_err(|_| ConnectionAborted)?;
            done.unwrap_or_else(|error| {
                let status = match &error {
                    PlatformError::Conflict { key } => {
                        return json_response(StatusCode::CONFLICT, &json!({"key": key}));
                    }
                    PlatformError::ResponseLost(_) => return Err(ConnectionAborted),
                    PlatformError::Throttled => StatusCode::TOO_MANY_REQUESTS,
                    PlatformError::Unreachable(_) => StatusCode::SERVICE_UNAVAILABLE,
                    PlatformError::InvalidResponse(_) => StatusCode::BAD_REQUEST,
                };
                json_response(status, &json!({"error": error.to_string()}))
            })
        }
        .boxed()
    }

    fn control(&self, mut patch: Map<String, Value>) -> Result<Map<String, Value>, String> {
        let removed_vm: Option<String> = fault_switches::take(&mut patch, "remove_vm")?;
        let sets_lost = patch.get("replies_lost").is_some();
        let (former, switches) = fault_switches::apply_watched(&self.switches, patch)?;
        self.memory.inject_faults(|memory| {
            // The memory platform decrements this counter itself: only a patch that names it sets it.
            if sets_lost {
                memory.lost_responses = switches.replies_lost;
            }
            memory.delay = Duration::from_millis(switches.slow_ms);
            memory.list_lag = Duration::from_millis(switches.list_lag_ms);
        });
        self.acceptor.set_refusing(switches.refuse);
        if let Some(vm) = removed_vm {
            self.memory.remove_vm(&vm);
        }
        Ok(former)
    }

    fn fault_switches(&self) -> Value {
        json!(*self.switches.borrow())
    }

    fn observed(&self, _text: Option<&str>) -> Value {
        let counts = self.memory.counts();
        let refused = lock(&self.refused);
        json!({
            "reads": counts.reads,
            "writes": counts.writes,
            "reads_refused": refused.reads,
            "writes_refused": refused.writes,
            "connections": self.acceptor.connection_counts().0,
        })
    }
}
