use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_message, Message};

#[derive(Clone)]
struct Row {
    /// Base64 text; none marks a dropped row.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    /// Rows by table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    version: u64,
    calls: u64,
}

/// Stand-in for the platform's store, in its table form.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Tables>, Condvar)>,
}

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let value = group.iter().fold(0_u32, |v, b| v << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= group.len() { digit } else { '=' });
        }
    }
    out
}

fn field(object: &str, name: &str) -> Option<String> {
    let rest = object.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("the store needs a free port");
        let address = listener.local_addr().unwrap();
        let store = Store { address, state: Arc::default() };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row with an empty part; its value is a text.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, "", key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, "", key, None);
    }

    pub fn calls(&self) -> u64 {
        self.state.0.lock().unwrap().calls
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut tables = self.state.0.lock().unwrap();
        tables.version += 1;
        let row = Row { value, version: tables.version };
        tables.rows.insert((table.into(), part.into(), key.into()), row);
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        self.state.0.lock().unwrap().calls += 1;
        let path = request.target().split('?').next().unwrap_or("");
        match path {
            "/-/rows-get" => (200, self.read(request)),
            "/-/rows-feed" => (200, self.feed(request)),
            "/-/rows-tx" => (200, self.transact(request)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn encode(rows: Vec<(&(String, String, String), &Row)>, version: u64) -> String {
        let rows: Vec<String> = rows
            .into_iter()
            .map(|((table, part, key), row)| {
                let head = format!(
                    "\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"row_version\":{}",
                    row.version
                );
                match &row.value {
                    Some(value) => format!("{{{head},\"value\":\"{value}\"}}"),
                    None => format!("{{{head},\"tombstone\":true}}"),
                }
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"more_pages\":false,\"row_version\":{version},\"now_ms\":1}}",
            rows.join(",")
        )
    }

    fn read(&self, request: &Message) -> String {
        let text = |name| request.query(name).unwrap_or_default();
        let (table, part, from, until) = (text("table"), text("part"), text("from"), text("target"));
        let tables = self.state.0.lock().unwrap();
        let rows = tables.rows.iter().filter(|((t, p, key), row)| {
            *t == table
                && *p == part
                && row.value.is_some()
                && *key >= from
                && (until.is_empty() || *key < until)
        });
        Self::encode(rows.collect(), tables.version)
    }

    fn feed(&self, request: &Message) -> String {
        let table = request.query("table").unwrap_or_default();
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (after, end) =
            (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut tables = self.state.0.lock().unwrap();
        loop {
            let mut rows: Vec<_> =
                tables.rows.iter().filter(|((t, _, _), row)| *t == table && row.version > after).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                return Self::encode(rows, tables.version);
            }
            tables = self.state.1.wait_timeout(tables, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> String {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let writes = body.split_once("\"writes\":[").map_or("", |(_, rest)| rest);
        let writes = writes.split(']').next().unwrap_or("");
        for object in writes.split('{').skip(1) {
            if let (Some(table), Some(key)) = (field(object, "table"), field(object, "key")) {
                self.write(&table, "", &key, field(object, "value"));
            }
        }
        let version = self.state.0.lock().unwrap().version;
        format!("{{\"row_version\":{version},\"now_ms\":1}}")
    }
}
