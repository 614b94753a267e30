//! The platform's store: rows with versions from one counter, atomic writes, reads and change feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reply};
use crate::json::{base64, Json};

/// Table, part and key of a row.
type RowName = (String, String, String);

#[derive(Default)]
struct Content {
    /// Value in base64, none of a removed row, and version.
    rows: BTreeMap<RowName, (Option<String>, u64)>,
    version: u64,
}

pub struct Store {
    pub address: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
    started: Instant,
}

fn row_text((table, part, key): &RowName, value: &Option<String>, version: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".into(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{rest},\"row_version\":{version}}}")
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("an address"),
            content: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let server = Arc::clone(&store);
        http::serve(listener, move |request| server.handle(&request));
        store
    }

    /// Writes a row as the operator, a target or another writer does; none removes it.
    pub fn put(&self, table: &str, part: &str, key: &str, value: Option<&str>) -> u64 {
        let mut content = self.content.lock().expect("the store");
        content.version += 1;
        let version = content.version;
        let name = (table.into(), part.into(), key.into());
        content.rows.insert(name, (value.map(|v| base64(v.as_bytes())), version));
        self.changed.notify_all();
        version
    }

    fn reply(&self, rows: Vec<String>, version: u64) -> Reply {
        let now = self.started.elapsed().as_millis();
        let body = format!(
            "{{\"rows\":[{}],\"more_pages\":false,\"row_version\":{version},\"now_ms\":{now}}}",
            rows.join(",")
        );
        let kind = ("Content-Type".into(), "application/json".into());
        ("200 OK", vec![kind], body.into_bytes())
    }

    fn handle(&self, request: &Message) -> Reply {
        std::thread::sleep(Duration::from_millis(3));
        let path = request.target().split('?').next().unwrap_or("");
        match (request.method(), path) {
            ("GET", "/-/rows-get") => self.read(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            ("POST", "/-/rows-tx") => self.write(request),
            _ => ("404 Not Found", Vec::new(), Vec::new()),
        }
    }

    fn read(&self, request: &Message) -> Reply {
        let text = |name| request.query(name).unwrap_or_default();
        let (table, part, from, target) = (text("table"), text("part"), text("from"), text("target"));
        let content = self.content.lock().expect("the store");
        let rows = content.rows.iter().filter(|((t, p, key), (value, _))| {
            *t == table
                && *p == part
                && value.is_some()
                && *key >= from
                && (target.is_empty() || *key < target)
        });
        let rows = rows.map(|(name, (value, version))| row_text(name, value, *version)).collect();
        self.reply(rows, content.version)
    }

    fn feed(&self, request: &Message) -> Reply {
        let table = request.query("table").unwrap_or_default();
        let number = |name| request.query(name).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
        let (after, end) = (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut content = self.content.lock().expect("the store");
        loop {
            let mut rows: Vec<_> = content
                .rows
                .iter()
                .filter(|((t, _, _), (_, version))| *t == table && *version > after)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (_, version))| *version);
                let rows = rows.into_iter().map(|(n, (value, version))| row_text(n, value, *version));
                return self.reply(rows.collect(), content.version);
            }
            content = self.changed.wait_timeout(content, left).expect("the store").0;
        }
    }

    fn write(&self, request: &Message) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&body) else { return ("400 Bad Request", Vec::new(), Vec::new()) };
        let name = |row: &Json| -> Option<RowName> {
            let text = |field| row.get(field).and_then(Json::text).map(String::from);
            Some((text("table")?, text("part").unwrap_or_default(), text("key")?))
        };
        let items = |field| body.get(field).map(Json::list).unwrap_or(&[]);
        let mut content = self.content.lock().expect("the store");
        let names = items("writes").iter().chain(items("remove")).filter_map(name);
        if names.into_iter().any(|(table, _, _)| table == "op" || table == "servers") {
            return ("403 Forbidden", Vec::new(), Vec::new());
        }
        for expected in items("expected_revision") {
            let Some(name) = name(expected) else { continue };
            let version = expected.get("row_version").and_then(Json::number).unwrap_or(0.0) as u64;
            let held = content.rows.get(&name).filter(|(value, _)| value.is_some()).map_or(0, |r| r.1);
            if held != version {
                return ("412 Precondition Failed", Vec::new(), b"{\"rows\":[]}".to_vec());
            }
        }
        content.version += 1;
        let version = content.version;
        for row in items("writes") {
            let value = row.get("value").and_then(Json::text).map(String::from);
            if let Some(name) = name(row) {
                content.rows.insert(name, (value, version));
            }
        }
        for row in items("remove") {
            if let Some(name) = name(row) {
                content.rows.insert(name, (None, version));
            }
        }
        self.changed.notify_all();
        self.reply(Vec::new(), version)
    }
}
