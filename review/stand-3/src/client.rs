//! Clients of the platform: they ask a directory where to connect, keep the answer for its time, and
//! open a connection for each request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::resolve;
use crate::http::{Connection, Message};
use crate::record::Record;

/// Time for which clients keep an answer of the directory.
const TTL: Duration = Duration::from_secs(2);

pub struct Clients {
    record: Arc<Record>,
    directories: Vec<SocketAddr>,
    zone: String,
    known: Mutex<Option<(SocketAddr, Instant)>>,
    next_id: AtomicU64,
}

impl Clients {
    pub fn new(record: &Arc<Record>, directories: Vec<SocketAddr>, zone: &str) -> Arc<Clients> {
        Arc::new(Clients {
            record: Arc::clone(record),
            directories,
            zone: zone.into(),
            known: Mutex::default(),
            next_id: AtomicU64::new(1),
        })
    }

    /// An address to connect to. One that has failed is not used again before a new answer.
    pub fn address(&self) -> Option<SocketAddr> {
        let mut known = self.known.lock().expect("the address");
        if let Some((address, _)) = known.filter(|(_, at)| at.elapsed() < TTL) {
            return Some(address);
        }
        let found = self.directories.iter().take(3).find_map(|d| resolve(*d, &self.zone));
        if let Some(address) = found {
            *known = Some((address, Instant::now()));
        }
        known.map(|(address, _)| address)
    }

    fn forget(&self, address: SocketAddr) {
        let mut known = self.known.lock().expect("the address");
        if known.is_some_and(|(held, _)| held == address) {
            *known = None;
        }
    }

    /// Sends a request on a new connection. Returns its id and the answer.
    pub fn send(&self, method: &str, path: &str, key: &str, body: &[u8]) -> (String, Option<Message>) {
        let id = format!("q{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let Some(address) = self.address() else {
            self.record.line(&format!("sent {id} nowhere: no directory answers"));
            return (id, None);
        };
        self.record.line(&format!("sent {id} {method} {path} to {address}"));
        let bearer = format!("Bearer {key}");
        let headers = [
            ("Host", "a.example"),
            ("Request-Id", &*id),
            ("Deadline-Ms", "4000"),
            ("Authorization", &*bearer),
        ];
        let answer = Connection::open(address, Duration::from_secs(1)).and_then(|mut connection| {
            connection.call(method, path, &headers, body, Duration::from_secs(4))
        });
        match &answer {
            Ok(answer) => self.record.line(&format!("answered {id} {}", answer.status())),
            Err(error) => {
                self.record.line(&format!("answered {id} not: {error}"));
                self.forget(address);
            }
        }
        (id, answer.ok())
    }
}
