use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::acceptor::lock;
use crate::server::query_parameter;

/// Maximum number of rows in a response.
const MAX_PAGE_ROWS: usize = 500;
/// Maximum size of the values in a response.
const MAX_PAGE_BYTES: usize = 1_000_000;

/// Header with the number of times that the store came back from an older copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// How the store handles every call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// Handles it.
    #[default]
    Normal,
    /// Responds with 503 and does nothing.
    Unavailable,
    /// Never responds.
    Unresponsive,
}

#[derive(Clone, Debug)]
struct Row {
    /// Base64 text; `None` marks a deleted row.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Tables {
    /// Rows by table and key.
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Version up to which the change history was discarded.
    compacted_version: u64,
    mode: StoreMode,
    call_count: u64,
    /// Number of times that it came back from an older copy.
    era: u64,
    /// Texts of the header with the era, in place of the true one.
    era_texts: Option<Vec<String>>,
}

/// Copy of the rows of a store.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

impl Tables {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = Row { value, version: self.version };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn changes_since(&self, table: &str, after: u64) -> Vec<Value> {
        let rows = self.rows.iter().filter(|((t, _), row)| t == table && row.version > after);
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|(_, row)| row.version);
        rows.into_iter().map(|((_, key), row)| encode_row(table, key, row)).collect()
    }
}

/// Takes rows up to the size of a response; returns whether some are left.
fn take_page(rows: Vec<Value>) -> (Vec<Value>, bool) {
    let count = rows.len();
    let mut bytes = 0;
    let page: Vec<Value> = rows
        .into_iter()
        .take(MAX_PAGE_ROWS)
        .take_while(|row| {
            let first = bytes == 0;
            bytes += row["value"].as_str().map_or(0, str::len);
            first || bytes <= MAX_PAGE_BYTES
        })
        .collect();
    let more = page.len() < count;
    (page, more)
}

fn encode_row(table: &str, key: &str, row: &Row) -> Value {
    let mut encoded = json!({
        "table": table, "part": "", "key": key, "row_version": row.version,
    });
    match &row.value {
        Some(value) => encoded["value"] = json!(value),
        None => encoded["tombstone"] = json!(true),
    }
    encoded
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
    /// Serves a store on the listener. Must be called within a Tokio runtime.
    pub fn serve(listener: TcpListener) -> io::Result<GatewayStore> {
        let address = listener.local_addr()?;
        let tables: Arc<Mutex<Tables>> = Arc::default();
        let (changes, _) = watch::channel(0);
        let (rows, notifier) = (Arc::clone(&tables), changes.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (rows, notifier) = (Arc::clone(&rows), notifier.clone());
                let service = service_fn(move |request| {
                    let (rows, notifier) = (Arc::clone(&rows), notifier.clone());
                    async move { Ok::<_, Infallible>(answer_call(rows, notifier, request).await) }
                });
                tokio::spawn(async move {
                    // Errors are expected: tests kill clients during a call.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(GatewayStore { address, tables, changes, task })
    }

    /// Returns the listen address.
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
        let text = encode_base64(value.to_string().as_bytes());
        self.change(|tables| tables.write(table, key, Some(text)));
    }

    /// Writes a row with arbitrary bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let text = encode_base64(value);
        self.change(|tables| tables.write(table, key, Some(text)));
    }

    /// Writes a row whose value is not base64.
    pub fn put_raw_text(&self, table: &str, key: &str, text: &str) {
        self.change(|tables| tables.write(table, key, Some(text.to_owned())));
    }

    /// Deletes a row.
    pub fn delete_row(&self, table: &str, key: &str) {
        self.change(|tables| tables.write(table, key, None));
    }

    /// Discards the change history; waits for changes since an earlier version get 410.
    pub fn compact(&self) {
        self.change(|tables| {
            tables.version += 1;
            tables.compacted_version = tables.version;
        });
    }

    /// Copies the rows.
    pub fn copy(&self) -> StoreCopy {
        let tables = lock(&self.tables);
        StoreCopy { rows: tables.rows.clone(), version: tables.version }
    }

    /// Comes back from an older copy: what was written since is gone, and its versions are given out
    /// again.
    pub fn restore(&self, copy: &StoreCopy) {
        self.change(|tables| {
            tables.rows.clone_from(&copy.rows);
            tables.version = copy.version;
            tables.compacted_version = tables.compacted_version.min(copy.version);
            tables.era += 1;
        });
    }

    /// Sends these texts as the era, each in a header, in place of the true one.
    pub fn set_era_texts(&self, texts: Option<Vec<String>>) {
        self.change(|tables| tables.era_texts = texts);
    }

    /// Sets how the store handles calls.
    pub fn set_mode(&self, mode: StoreMode) {
        self.change(|tables| tables.mode = mode);
    }

    /// Returns the number of calls so far.
    pub fn call_count(&self) -> u64 {
        lock(&self.tables).call_count
    }
}

const BASE64_ALPHABET: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes base64 by hand, so that the adapter is tested against an encoder other than its own
/// library.
fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0_u32, |w, b| (w << 8) | u32::from(*b)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (word >> (18 - 6 * place)) & 63;
                text.push(char::from(BASE64_ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

type JsonResponse = Response<Full<Bytes>>;

fn json_response(status: StatusCode, value: &Value) -> JsonResponse {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response
}

fn query_number(request: &Request<Incoming>, name: &str) -> u64 {
    query_parameter(request.uri(), name).and_then(|v| v.parse().ok()).unwrap_or(0)
}

async fn handle_call(
    tables: Arc<Mutex<Tables>>,
    changes: watch::Sender<u64>,
    request: Request<Incoming>,
) -> JsonResponse {
    let mode = {
        let mut tables = lock(&tables);
        tables.call_count += 1;
        tables.mode
    };
    match mode {
        StoreMode::Unavailable => {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "busy"}));
        }
        StoreMode::Unresponsive => std::future::pending::<()>().await,
        StoreMode::Normal => {}
    }
    match (request.method().clone(), request.uri().path().to_owned().as_str()) {
        (Method::POST, "/-/rows-tx") => write_rows(&tables, &changes, request).await,
        (Method::GET, "/-/rows-get") => read_rows(&tables, &request),
        (Method::GET, "/-/rows-feed") => wait_for_changes(&tables, &changes, &request).await,
        _ => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such call"})),
    }
}

/// Handles a call, and tells the era in the answer.
async fn answer_call(
    tables: Arc<Mutex<Tables>>,
    changes: watch::Sender<u64>,
    request: Request<Incoming>,
) -> JsonResponse {
    let mut response = handle_call(Arc::clone(&tables), changes, request).await;
    let tables = lock(&tables);
    let texts = tables.era_texts.clone().unwrap_or_else(|| vec![tables.era.to_string()]);
    for text in texts.iter().filter_map(|text| HeaderValue::from_str(text).ok()) {
        response.headers_mut().append(ERA_HEADER, text);
    }
    response
}

async fn write_rows(
    tables: &Mutex<Tables>,
    changes: &watch::Sender<u64>,
    request: Request<Incoming>,
) -> JsonResponse {
    let body = request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return json_response(StatusCode::BAD_REQUEST, &json!({"error": "no JSON"}));
    };
    let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let version = {
        let mut tables = lock(tables);
        for entry in body["writes"].as_array().into_iter().flatten() {
            let (table, key) = (text(entry, "table"), text(entry, "key"));
            if table == "op" || table == "servers" {
                return json_response(
                    StatusCode::FORBIDDEN,
                    &json!({"error": "not the fleet's table"}),
                );
            }
            tables.write(&table, &key, Some(text(entry, "value")));
        }
        for entry in body["remove"].as_array().into_iter().flatten() {
            tables.write(&text(entry, "table"), &text(entry, "key"), None);
        }
        tables.version
    };
    changes.send_replace(version);
    json_response(StatusCode::OK, &json!({"row_version": version, "now_ms": 0}))
}

fn read_rows(tables: &Mutex<Tables>, request: &Request<Incoming>) -> JsonResponse {
    let table = query_parameter(request.uri(), "table").unwrap_or_default();
    let from = query_parameter(request.uri(), "from").unwrap_or_default();
    let until = query_parameter(request.uri(), "target");
    let tables = lock(tables);
    let in_range = |key: &str| key >= from.as_str() && until.as_deref().is_none_or(|u| key < u);
    let rows = tables
        .rows
        .iter()
        .filter(|((t, key), row)| *t == table && in_range(key) && row.value.is_some());
    let rows: Vec<Value> = rows.map(|((_, key), row)| encode_row(&table, key, row)).collect();
    let (rows, more) = take_page(rows);
    let body =
        json!({"rows": rows, "more_pages": more, "row_version": tables.version, "now_ms": 0});
    json_response(StatusCode::OK, &body)
}

async fn wait_for_changes(
    tables: &Mutex<Tables>,
    changes: &watch::Sender<u64>,
    request: &Request<Incoming>,
) -> JsonResponse {
    let table = query_parameter(request.uri(), "table").unwrap_or_default();
    let after = query_number(request, "after");
    let deadline =
        tokio::time::Instant::now() + Duration::from_millis(query_number(request, "wait_ms"));
    let mut changed = changes.subscribe();
    loop {
        {
            let tables = lock(tables);
            if after < tables.compacted_version || after > tables.version {
                return json_response(StatusCode::GONE, &json!({"error": "history is gone"}));
            }
            let rows = tables.changes_since(&table, after);
            if !rows.is_empty() || tokio::time::Instant::now() >= deadline {
                let (rows, more) = take_page(rows);
                let last = rows.last().and_then(|row| row["row_version"].as_u64());
                let version = last.filter(|_| more).unwrap_or(tables.version);
                let body = json!({"rows": rows, "row_version": version, "now_ms": 0});
                return json_response(StatusCode::OK, &body);
            }
        }
        // The loop checks for changes and for the deadline, whichever ended the wait.
        let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}
