use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::http::{Message, read_message};

const BASE64_ALPHABET: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

struct Row {
    /// Base64 text; `None` marks a deleted row.
    value: Option<String>,
    version: u64,
}

/// Rows by table and key. Their number stays below that of one page.
#[derive(Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The platform's store, as far as the gateway uses it: `rows-get`, `rows-feed` and `rows-tx`.
pub struct Store {
    address: SocketAddr,
    tables: Arc<Mutex<Tables>>,
    changes: watch::Sender<u64>,
}

fn lock(tables: &Mutex<Tables>) -> MutexGuard<'_, Tables> {
    tables.lock().unwrap_or_else(PoisonError::into_inner)
}

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

fn decode_percent(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn parameter(target: &str, name: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
}

fn encode_row(table: &str, key: &str, row: &Row) -> Value {
    let mut encoded = json!({"table": table, "part": "", "key": key, "row_version": row.version});
    match &row.value {
        Some(value) => encoded["value"] = json!(value),
        None => encoded["tombstone"] = json!(true),
    }
    encoded
}

impl Tables {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = Row { value, version: self.version };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }
}

impl Store {
    /// Serves a store on an address.
    pub async fn serve(address: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let tables: Arc<Mutex<Tables>> = Arc::default();
        let (changes, _) = watch::channel(0);
        let (rows, notifier) = (Arc::clone(&tables), changes.clone());
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (rows, notifier) = (Arc::clone(&rows), notifier.clone());
                tokio::spawn(async move {
                    // An error means that the gateway has closed the connection.
                    let _ = serve_connection(stream, &rows, &notifier).await;
                });
            }
        });
        Ok(Store { address, tables, changes })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row as the operator or a backend server does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let version = {
            let mut tables = lock(&self.tables);
            tables.write(table, key, Some(encode_base64(value.to_string().as_bytes())));
            tables.version
        };
        self.changes.send_replace(version);
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    tables: &Mutex<Tables>,
    changes: &watch::Sender<u64>,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(call) = read_message(&mut stream, &mut buffer).await? {
        let (status, body) = answer(&call, tables, changes).await;
        let body = body.to_string();
        let response = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n\
             {body}",
            body.len()
        );
        stream.write_all(response.as_bytes()).await?;
    }
    Ok(())
}

async fn answer(
    call: &Message,
    tables: &Mutex<Tables>,
    changes: &watch::Sender<u64>,
) -> (u16, Value) {
    let target = call.word(1);
    match target.split('?').next().unwrap_or_default() {
        "/-/rows-get" => read_rows(target, &lock(tables)),
        "/-/rows-feed" => wait_for_changes(target, tables, changes).await,
        "/-/rows-tx" => write_rows(call, tables, changes),
        _ => (404, json!({"error": "no such call"})),
    }
}

fn read_rows(target: &str, tables: &Tables) -> (u16, Value) {
    let table = parameter(target, "table").unwrap_or_default();
    let from = parameter(target, "from").unwrap_or_default();
    let until = parameter(target, "target");
    let is_in = |key: &str| key >= from.as_str() && until.as_deref().is_none_or(|end| key < end);
    let rows: Vec<Value> = tables
        .rows
        .iter()
        .filter(|((t, key), row)| *t == table && is_in(key) && row.value.is_some())
        .map(|((_, key), row)| encode_row(&table, key, row))
        .collect();
    (200, json!({"rows": rows, "more_pages": false, "row_version": tables.version, "now_ms": 0}))
}

async fn wait_for_changes(
    target: &str,
    tables: &Mutex<Tables>,
    changes: &watch::Sender<u64>,
) -> (u16, Value) {
    let number = |name| parameter(target, name).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
    let table = parameter(target, "table").unwrap_or_default();
    let (after, end) = (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
    let mut changed = changes.subscribe();
    loop {
        {
            let tables = lock(tables);
            let mut rows: Vec<_> = tables
                .rows
                .iter()
                .filter(|((t, _), row)| *t == table && row.version > after)
                .collect();
            if !rows.is_empty() || Instant::now() >= end {
                rows.sort_by_key(|(_, row)| row.version);
                let rows: Vec<Value> =
                    rows.into_iter().map(|((_, key), row)| encode_row(&table, key, row)).collect();
                return (200, json!({"rows": rows, "row_version": tables.version, "now_ms": 0}));
            }
        }
        // The loop checks for changes and for the end, whichever ended the wait.
        let _ = timeout_at(end, changed.changed()).await;
    }
}

fn write_rows(
    call: &Message,
    tables: &Mutex<Tables>,
    changes: &watch::Sender<u64>,
) -> (u16, Value) {
    let Ok(body) = serde_json::from_slice::<Value>(&call.body) else {
        return (400, json!({"error": "no JSON"}));
    };
    let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let (writes, removed) = (entries("writes"), entries("remove"));
    let is_foreign = |entry: &Value| matches!(entry["table"].as_str(), Some("op" | "servers"));
    if writes.iter().chain(&removed).any(is_foreign) {
        return (403, json!({"error": "not the fleet's table"}));
    }
    let version = {
        let mut tables = lock(tables);
        for entry in &writes {
            tables.write(&text(entry, "table"), &text(entry, "key"), Some(text(entry, "value")));
        }
        for entry in &removed {
            tables.write(&text(entry, "table"), &text(entry, "key"), None);
        }
        tables.version
    };
    changes.send_replace(version);
    (200, json!({"row_version": version, "now_ms": 0}))
}
