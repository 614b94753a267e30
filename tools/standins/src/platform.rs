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
use crate::door::{Connection, Door, lock};
use crate::reply::{Hangup, Reply, full, json, response};
use crate::server::{Service, query};
use crate::switch;

/// Largest body that is read, in bytes.
const MAX_BODY: usize = 256 << 20;

/// Budget of the platform stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Rows and objects that may be written or deleted in a second, and at once.
    pub writes_per_s: f64,
    /// Reads, scans and lists that may come in a second, and at once.
    pub reads_per_s: f64,
}

impl Default for Options {
    fn default() -> Self {
        // "Several hundred writes and about 2,000 reads a second."
        Options { writes_per_s: 400.0, reads_per_s: 2000.0 }
    }
}

/// Faults that `POST /control` switches.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Switches {
    /// Refuse connections.
    refuse: bool,
    /// Accept requests and leave them unanswered; they take no effect.
    hang: bool,
    /// Time that every request takes. A commit takes effect even if its sender is gone by then.
    slow_ms: u64,
    /// Number of commits that will take effect and lose their reply.
    replies_lost: u32,
    /// Age of the list of VMs.
    list_lag_ms: u64,
    /// Budget of writes.
    writes_per_s: f64,
    /// Budget of reads.
    reads_per_s: f64,
}

/// Token bucket of one second's worth.
struct Budget {
    level: f64,
    at: Instant,
}

impl Budget {
    fn take(&mut self, cost: f64, per_s: f64) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.at).as_secs_f64() * per_s;
        self.level = (self.level + earned).min(per_s);
        self.at = now;
        // A transaction larger than one second's budget must be able to pass at all.
        let cost = cost.min(per_s);
        let enough = self.level >= cost;
        if enough {
            self.level -= cost;
        }
        enough
    }
}

#[derive(Default)]
struct Refused {
    reads: u64,
    writes: u64,
}

struct Standin {
    memory: MemoryPlatform,
    open: Platform,
    switches: watch::Sender<Switches>,
    door: Arc<Door>,
    writes: Mutex<Budget>,
    reads: Mutex<Budget>,
    refused: Mutex<Refused>,
}

/// Serves the platform's protocol on the listener. Needs a tokio runtime.
pub fn serve(listener: TcpListener, options: Options) -> io::Result<Server> {
    let Options { writes_per_s, reads_per_s } = options;
    let memory = MemoryPlatform::new();
    let door = Arc::new(Door::new(usize::MAX));
    let switches = Switches { writes_per_s, reads_per_s, ..Switches::default() };
    let budget = |level| Mutex::new(Budget { level, at: Instant::now() });
    let standin = Standin {
        open: memory.open(),
        memory,
        switches: watch::channel(switches).0,
        door: door.clone(),
        writes: budget(writes_per_s),
        reads: budget(reads_per_s),
        refused: Mutex::default(),
    };
    Server::start(listener, Arc::new(standin), door)
}

impl Standin {
    fn pay_read(&self) -> Result<(), PlatformError> {
        let per_s = self.switches.borrow().reads_per_s;
        if lock(&self.reads).take(1.0, per_s) {
            return Ok(());
        }
        lock(&self.refused).reads += 1;
        Err(PlatformError::Throttled)
    }

    fn pay_write(&self, rows: usize) -> Result<(), PlatformError> {
        let per_s = self.switches.borrow().writes_per_s;
        if lock(&self.writes).take(rows.max(1) as f64, per_s) {
            return Ok(());
        }
        lock(&self.refused).writes += 1;
        Err(PlatformError::Throttled)
    }

    async fn route(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, PlatformError> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY).collect().await;
        let body =
            body.map_err(|error| PlatformError::InvalidResponse(error.to_string().into()))?;
        let body = body.to_bytes();
        let parameter = |name| query(&head.uri, name).unwrap_or_default();
        let path = head.uri.path();
        if let Some(name) = path.strip_prefix("/objects/") {
            let name = percent_decode_str(name).decode_utf8_lossy();
            return self.object(&head.method, &name, body.into()).await;
        }
        Ok(match (&head.method, path) {
            (&Method::GET, "/table/row") => {
                self.pay_read()?;
                match self.open.table.read(&parameter("key")).await? {
                    Some(row) => json(StatusCode::OK, &row),
                    None => json(StatusCode::NOT_FOUND, &json!({"error": "no such row"})),
                }
            }
            (&Method::GET, "/table/scan") => {
                self.pay_read()?;
                let limit = parameter("limit").parse().unwrap_or(1000);
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                json(StatusCode::OK, &self.open.table.scan(&prefix, &after, limit).await?)
            }
            (&Method::POST, "/table/commit") => {
                let transaction: Transaction = read(&body)?;
                self.pay_write(transaction.puts.len() + transaction.deletes.len())?;
                let version = self.open.table.commit(&transaction).await?;
                json(StatusCode::OK, &json!({"version": version}))
            }
            (&Method::GET, "/objects") => {
                self.pay_read()?;
                json(StatusCode::OK, &self.open.objects.list(&parameter("prefix")).await?)
            }
            (&Method::GET, "/vms") => json(StatusCode::OK, &self.open.vms.list().await?),
            (&Method::POST, "/vms") => {
                let entry: VmEntry = read(&body)?;
                self.open.vms.announce(&entry).await?;
                json(StatusCode::OK, &json!({}))
            }
            _ => json(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        })
    }

    async fn object(
        &self,
        method: &Method,
        name: &str,
        body: Vec<u8>,
    ) -> Result<Reply, PlatformError> {
        Ok(match *method {
            Method::GET => {
                self.pay_read()?;
                match self.open.objects.get(name).await? {
                    Some(bytes) => Ok(response(StatusCode::OK, full(bytes))),
                    None => json(StatusCode::NOT_FOUND, &json!({"error": "no such object"})),
                }
            }
            Method::PUT => {
                self.pay_write(1)?;
                self.open.objects.put(name, body).await?;
                json(StatusCode::OK, &json!({}))
            }
            Method::DELETE => {
                self.pay_write(1)?;
                self.open.objects.delete(name).await?;
                json(StatusCode::OK, &json!({}))
            }
            _ => json(StatusCode::METHOD_NOT_ALLOWED, &json!({"error": "GET, PUT or DELETE"})),
        })
    }
}

fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::InvalidResponse(error.to_string().into()))
}

impl Service for Standin {
    fn answer(
        self: Arc<Self>,
        _connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Reply> {
        async move {
            if self.switches.borrow().hang {
                let mut switches = self.switches.subscribe();
                let ended = switches.wait_for(|switches| !switches.hang).await;
                drop(ended);
                return Err(Hangup);
            }
            // On a task of its own, a slow commit takes effect although its sender has given up.
            let done = tokio::spawn(self.route(request)).await.map_err(|_| Hangup)?;
            done.unwrap_or_else(|error| {
                let status = match &error {
                    PlatformError::Conflict { key } => {
                        return json(StatusCode::CONFLICT, &json!({"key": key}));
                    }
                    PlatformError::ResponseLost(_) => return Err(Hangup),
                    PlatformError::Throttled => StatusCode::TOO_MANY_REQUESTS,
                    PlatformError::Unreachable(_) => StatusCode::SERVICE_UNAVAILABLE,
                    PlatformError::InvalidResponse(_) => StatusCode::BAD_REQUEST,
                };
                json(status, &json!({"error": error.to_string()}))
            })
        }
        .boxed()
    }

    fn control(&self, mut patch: Map<String, Value>) -> Result<Map<String, Value>, String> {
        let remove: Option<String> = switch::take(&mut patch, "remove_vm")?;
        let lost = patch.get("replies_lost").is_some();
        let (former, switches) = switch::apply_watched(&self.switches, patch)?;
        self.memory.inject_faults(|memory| {
            // The memory platform counts lost replies down; other changes leave the rest as it is.
            if lost {
                memory.lost_responses = switches.replies_lost;
            }
            memory.delay = Duration::from_millis(switches.slow_ms);
            memory.list_lag = Duration::from_millis(switches.list_lag_ms);
        });
        self.door.refuse(switches.refuse);
        if let Some(vm) = remove {
            self.memory.remove_vm(&vm);
        }
        Ok(former)
    }

    fn switches(&self) -> Value {
        json!(*self.switches.borrow())
    }

    fn seen(&self, _text: Option<&str>) -> Value {
        let counts = self.memory.counts();
        let refused = lock(&self.refused);
        json!({
            "reads": counts.reads,
            "writes": counts.writes,
            "reads_refused": refused.reads,
            "writes_refused": refused.writes,
            "connections": self.door.counts().0,
        })
    }
}
