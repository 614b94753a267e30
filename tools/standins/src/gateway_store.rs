use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::door::lock;
use crate::server::query;

/// What the store does with every call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// Answers.
    #[default]
    Normal,
    /// Answers 503 and does nothing.
    Unavailable,
    /// Does not answer.
    Unresponsive,
}

#[derive(Clone, Debug)]
struct Stored {
    /// Base64 text; none marks a dropped row.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Tables {
    /// Rows by table and key.
    rows: BTreeMap<(String, String), Stored>,
    version: u64,
    /// Version up to which the history is gone.
    compacted: u64,
    mode: StoreMode,
    calls: u64,
}

impl Tables {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let stored = Stored { value, version: self.version };
        self.rows.insert((table.to_owned(), key.to_owned()), stored);
    }

    fn changed(&self, table: &str, after: u64) -> Vec<Value> {
        let rows = self.rows.iter().filter(|((t, _), row)| t == table && row.version > after);
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|(_, row)| row.version);
        rows.into_iter().map(|((_, key), row)| shown(table, key, row)).collect()
    }
}

fn shown(table: &str, key: &str, row: &Stored) -> Value {
    let mut shown = json!({
        "table": table, "part": "", "key": key, "row_version": row.version,
    });
    match &row.value {
        Some(value) => shown["value"] = json!(value),
        None => shown["tombstone"] = json!(true),
    }
    shown
}

/// A running store. It stops when this handle is dropped.
pub struct GatewayStore {
    address: SocketAddr,
    tables: Arc<Mutex<Tables>>,
    changes: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for GatewayStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl GatewayStore {
    /// Serves a store on the listener. Needs a tokio runtime.
    pub fn serve(listener: TcpListener) -> io::Result<GatewayStore> {
        let address = listener.local_addr()?;
        let tables: Arc<Mutex<Tables>> = Arc::default();
        let (changes, _) = watch::channel(0);
        let (rows, told) = (Arc::clone(&tables), changes.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (rows, told) = (Arc::clone(&rows), told.clone());
                let service = service_fn(move |request| {
                    let (rows, told) = (Arc::clone(&rows), told.clone());
                    async move { Ok::<_, Infallible>(answer(rows, told, request).await) }
                });
                tokio::spawn(async move {
                    // A caller that breaks its connection is no event of a stand-in.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(GatewayStore { address, tables, changes, task })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn change(&self, change: impl FnOnce(&mut Tables)) {
        let version = {
            let mut tables = lock(&self.tables);
            change(&mut tables);
            tables.version
        };
        self.changes.send_replace(version);
    }

    /// Writes a row as the operator or a backend server does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let text = encode(value.to_string().as_bytes());
        self.change(|tables| tables.write(table, key, Some(text)));
    }

    /// Drops a row.
    pub fn drop_row(&self, table: &str, key: &str) {
        self.change(|tables| tables.write(table, key, None));
    }

    /// Forgets the history; feeds from before get 410.
    pub fn compact(&self) {
        self.change(|tables| {
            tables.version += 1;
            tables.compacted = tables.version;
        });
    }

    /// Sets what the store does with every call.
    pub fn set_mode(&self, mode: StoreMode) {
        self.change(|tables| tables.mode = mode);
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.tables).calls
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Base64 by hand, so that the adapter is tested against another writer than its own library.
fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0_u32, |w, b| (w << 8) | u32::from(*b)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (word >> (18 - 6 * place)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

type Answer = Response<Full<Bytes>>;

fn reply(status: StatusCode, value: &Value) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response
}

fn number(request: &Request<Incoming>, name: &str) -> u64 {
    query(request.uri(), name).and_then(|v| v.parse().ok()).unwrap_or(0)
}

async fn answer(
    tables: Arc<Mutex<Tables>>,
    changes: watch::Sender<u64>,
    request: Request<Incoming>,
) -> Answer {
    let mode = {
        let mut tables = lock(&tables);
        tables.calls += 1;
        tables.mode
    };
    match mode {
        StoreMode::Unavailable => {
            return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "busy"}));
        }
        StoreMode::Unresponsive => std::future::pending::<()>().await,
        StoreMode::Normal => {}
    }
    match (request.method().clone(), request.uri().path().to_owned().as_str()) {
        (Method::POST, "/-/rows-tx") => transaction(&tables, &changes, request).await,
        (Method::GET, "/-/rows-get") => range(&tables, &request),
        (Method::GET, "/-/rows-feed") => feed(&tables, &changes, &request).await,
        _ => reply(StatusCode::NOT_FOUND, &json!({"error": "no such call"})),
    }
}

async fn transaction(
    tables: &Mutex<Tables>,
    changes: &watch::Sender<u64>,
    request: Request<Incoming>,
) -> Answer {
    let body = request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return reply(StatusCode::BAD_REQUEST, &json!({"error": "no JSON"}));
    };
    let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let version = {
        let mut tables = lock(tables);
        for entry in body["writes"].as_array().into_iter().flatten() {
            let (table, key) = (text(entry, "table"), text(entry, "key"));
            if table == "op" || table == "servers" {
                return reply(StatusCode::FORBIDDEN, &json!({"error": "not the fleet's table"}));
            }
            tables.write(&table, &key, Some(text(entry, "value")));
        }
        for entry in body["remove"].as_array().into_iter().flatten() {
            tables.write(&text(entry, "table"), &text(entry, "key"), None);
        }
        tables.version
    };
    changes.send_replace(version);
    reply(StatusCode::OK, &json!({"row_version": version, "now_ms": 0}))
}

fn range(tables: &Mutex<Tables>, request: &Request<Incoming>) -> Answer {
    let table = query(request.uri(), "table").unwrap_or_default();
    let from = query(request.uri(), "from").unwrap_or_default();
    let until = query(request.uri(), "target");
    let tables = lock(tables);
    let inside = |key: &str| key >= from.as_str() && until.as_deref().is_none_or(|u| key < u);
    let rows = tables
        .rows
        .iter()
        .filter(|((t, key), row)| *t == table && inside(key) && row.value.is_some());
    let rows: Vec<Value> = rows.map(|((_, key), row)| shown(&table, key, row)).collect();
    let answer =
        json!({"rows": rows, "more_pages": false, "row_version": tables.version, "now_ms": 0});
    reply(StatusCode::OK, &answer)
}

async fn feed(
    tables: &Mutex<Tables>,
    changes: &watch::Sender<u64>,
    request: &Request<Incoming>,
) -> Answer {
    let table = query(request.uri(), "table").unwrap_or_default();
    let after = number(request, "after");
    let until = tokio::time::Instant::now() + Duration::from_millis(number(request, "wait_ms"));
    let mut changed = changes.subscribe();
    loop {
        {
            let tables = lock(tables);
            if after < tables.compacted {
                return reply(StatusCode::GONE, &json!({"error": "history is gone"}));
            }
            let rows = tables.changed(&table, after);
            if !rows.is_empty() || tokio::time::Instant::now() >= until {
                let answer = json!({"rows": rows, "row_version": tables.version, "now_ms": 0});
                return reply(StatusCode::OK, &answer);
            }
        }
        // Whether a change or the time ended the wait is looked up above.
        let _ = tokio::time::timeout_at(until, changed.changed()).await;
    }
}
