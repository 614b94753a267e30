//! A target: registers in the store, runs requests and answers them as the platform's pages say.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, Reply};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a target rewrites its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Requests that a target queues beyond its slots.
const QUEUE: u32 = 16;
/// Time for which a target that has crashed is away.
const AWAY: Duration = Duration::from_secs(2);
/// Path of the request that crashes each target that begins to run it.
pub const CRASHING_PATH: &str = "/file/crash";

pub struct Target {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    slots: u32,
    work: Duration,
    born: AtomicU64,
    sequence: AtomicU64,
    running: AtomicU32,
    /// Set when the target crashes, until it is back.
    crashed: AtomicBool,
    record: Arc<Record>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Target {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Target> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a target");
        let target = Arc::new(Target {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().expect("an address"),
            zone: zone.into(),
            slots,
            work,
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            crashed: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&target);
        std::thread::spawn(move || server.serve(listener));
        target
    }

    /// The entry that the target writes next.
    pub fn entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.born.load(Ordering::Relaxed)
        )
    }

    /// Registers the target and keeps its entry fresh until the process ends.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        store.put("servers", "", &self.id, Some(&self.entry()));
        let (target, store) = (Arc::clone(self), Arc::clone(store));
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            // One that has crashed sends nothing.
            if !target.crashed.load(Ordering::Relaxed) {
                store.put("servers", "", &target.id, Some(&target.entry()));
            }
        });
    }

    /// Serves connections. A crash closes the listener and all connections; the target is back at its
    /// address after a while, as a new start under its id.
    fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let open = listener.take().or_else(|| TcpListener::bind(self.address).ok());
            let Some(open) = open else {
                std::thread::sleep(Duration::from_millis(10));
                continue;
            };
            let _ = open.set_nonblocking(true);
            let mut streams = Vec::new();
            while !self.crashed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = open.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                streams.extend(stream.try_clone());
                let target = Arc::clone(&self);
                std::thread::spawn(move || target.serve_connection(stream));
            }
            drop(open);
            for stream in streams {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            std::thread::sleep(AWAY);
            self.born.store(unix_ms(), Ordering::Relaxed);
            self.sequence.store(0, Ordering::Relaxed);
            self.running.store(0, Ordering::Relaxed);
            self.crashed.store(false, Ordering::Relaxed);
        }
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut ahead = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut ahead) {
            let reply = self.handle(&request);
            if self.crashed.load(Ordering::Relaxed) || !http::write_reply(&mut stream, reply) {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Reply {
        let request_id = request.header("request-id").unwrap_or("").to_owned();
        let load = |running: u32| {
            let waiting = running.saturating_sub(self.slots);
            format!("{},{waiting},{}", running.min(self.slots), self.slots)
        };
        let headers = |running: u32, more: &[(&str, &str)]| {
            let mut headers = vec![("Server-Load".to_string(), load(running))];
            if !request_id.is_empty() {
                headers.push(("Request-Id".into(), request_id.clone()));
            }
            headers.extend(more.iter().map(|(n, v)| (n.to_string(), v.to_string())));
            headers
        };
        let not_run = [("Not-Executed", "1")];
        if request_id.is_empty() {
            return ("400 Bad Request", headers(0, &not_run), Vec::new());
        }
        if request.header("expected-instance").is_some_and(|id| id != self.id) {
            return ("421 Misdirected Request", headers(0, &not_run), Vec::new());
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        if running > self.slots + QUEUE {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return ("503 Service Unavailable", headers(running, &not_run), Vec::new());
        }
        let tenant = request.header("tenant").unwrap_or("-");
        self.record.line(&format!(
            "run {request_id} at {} ({}) tenant {tenant} {} {}",
            self.id,
            self.service,
            request.method(),
            request.target()
        ));
        if request.target() == CRASHING_PATH {
            self.record.line(&format!("crash of {} by {request_id}", self.id));
            self.crashed.store(true, Ordering::Relaxed);
        }
        std::thread::sleep(self.work);
        let running = self.running.fetch_sub(1, Ordering::Relaxed).saturating_sub(1);
        let body = format!("{request_id} of {}\n", self.id).into_bytes();
        ("200 OK", headers(running, &[("Response-Signature", &format!("s.{request_id}"))]), body)
    }
}
