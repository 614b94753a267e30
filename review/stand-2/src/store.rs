use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};

const BASE64_ALPHABET: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
/// Tables that only the operator and the backend servers write.
const FOREIGN_TABLES: [&str; 2] = ["op", "servers"];

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

#[derive(Default)]
struct Shared {
    tables: Mutex<Tables>,
    changed: Condvar,
}

/// The platform's store, as far as the gateway uses it: `rows-get`, `rows-feed` and `rows-tx`. Texts in
/// its tables need no escapes in JSON: they are names, addresses and base64.
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
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
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
}

/// Text of a field in the JSON of one row; empty if it is missing.
fn text<'a>(object: &'a str, name: &str) -> &'a str {
    let rest = object.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default()
}

/// The objects of a list in JSON that hold texts only.
fn objects<'a>(body: &'a str, name: &str) -> Vec<&'a str> {
    let list = body.split_once(&format!("\"{name}\":[")).map_or("", |(_, rest)| rest);
    let list = list.split(']').next().unwrap_or_default();
    list.split('{').skip(1).filter_map(|object| object.split('}').next()).collect()
}

fn encode_row(table: &str, key: &str, row: &Row) -> String {
    let content = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    let version = row.version;
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"row_version\":{version},{content}}}"
    )
}

fn encode_rows(rows: &[String], version: u64) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"more_pages\":false,\"row_version\":{version},\"now_ms\":0}}")
}

impl Tables {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = Row { value, version: self.version };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store {
    /// Serves a store on an address.
    pub fn serve(address: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared: Arc<Shared> = Arc::default();
        let rows = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let rows = Arc::clone(&rows);
                // An error means that the gateway has closed the connection.
                thread::spawn(move || serve_connection(stream, &rows));
            }
        });
        Ok(Store { address, shared })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row as the operator or a backend server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.shared.lock().write(table, key, Some(encode_base64(value.as_bytes())));
        self.shared.changed.notify_all();
    }
}

fn serve_connection(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(call) = read_message(&mut stream, &mut buffer)? {
        let (status, body) = answer(&call, shared);
        let response = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n\
             {body}",
            body.len()
        );
        stream.write_all(response.as_bytes())?;
    }
    Ok(())
}

fn answer(call: &Message, shared: &Shared) -> (u16, String) {
    let target = call.word(1);
    match target.split('?').next().unwrap_or_default() {
        "/-/rows-get" => read_rows(target, &shared.lock()),
        "/-/rows-feed" => wait_for_changes(target, shared),
        "/-/rows-tx" => write_rows(&call.body, shared),
        _ => (404, "{}".to_owned()),
    }
}

fn read_rows(target: &str, tables: &Tables) -> (u16, String) {
    let table = parameter(target, "table").unwrap_or_default();
    let from = parameter(target, "from").unwrap_or_default();
    let until = parameter(target, "target");
    let is_in = |key: &str| key >= from.as_str() && until.as_deref().is_none_or(|end| key < end);
    let rows: Vec<String> = tables
        .rows
        .iter()
        .filter(|((t, key), row)| *t == table && is_in(key) && row.value.is_some())
        .map(|((_, key), row)| encode_row(&table, key, row))
        .collect();
    (200, encode_rows(&rows, tables.version))
}

fn wait_for_changes(target: &str, shared: &Shared) -> (u16, String) {
    let number = |name| parameter(target, name).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
    let table = parameter(target, "table").unwrap_or_default();
    let (after, end) = (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
    let mut tables = shared.lock();
    loop {
        let mut rows: Vec<_> =
            tables.rows.iter().filter(|((t, _), row)| *t == table && row.version > after).collect();
        let left = end.saturating_duration_since(Instant::now());
        if !rows.is_empty() || left.is_zero() {
            rows.sort_by_key(|(_, row)| row.version);
            let rows: Vec<String> =
                rows.into_iter().map(|((_, key), row)| encode_row(&table, key, row)).collect();
            return (200, encode_rows(&rows, tables.version));
        }
        let woken = shared.changed.wait_timeout(tables, left);
        tables = woken.unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn write_rows(body: &str, shared: &Shared) -> (u16, String) {
    let (writes, removed) = (objects(body, "writes"), objects(body, "remove"));
    let is_foreign = |object: &&str| FOREIGN_TABLES.contains(&text(object, "table"));
    if writes.iter().chain(&removed).any(is_foreign) {
        return (403, "{}".to_owned());
    }
    let version = {
        let mut tables = shared.lock();
        for object in writes {
            let value = text(object, "value").to_owned();
            tables.write(text(object, "table"), text(object, "key"), Some(value));
        }
        for object in removed {
            tables.write(text(object, "table"), text(object, "key"), None);
        }
        tables.version
    };
    shared.changed.notify_all();
    (200, format!("{{\"row_version\":{version},\"now_ms\":0}}"))
}
