use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::server::{Service, handle_request};

/// Delay between two attempts to bind or to accept again.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// Locks a mutex, ignoring poisoning: the data it guards is valid at every moment.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An accepted connection.
pub(crate) struct Connection {
    /// Time at which it was accepted.
    pub(crate) opened_at: Instant,
    /// Requests received on it.
    pub(crate) request_count: AtomicU64,
}

/// Accepts connections up to a limit. It can refuse new connections and close the open ones.
pub(crate) struct Acceptor {
    refuse: watch::Sender<bool>,
    open_connections: Mutex<BTreeMap<u64, CancellationToken>>,
    opened_count: AtomicU64,
    max_connections: usize,
}

impl Acceptor {
    /// Creates an acceptor that serves at most `max_connections` connections at a time.
    pub(crate) fn new(max_connections: usize) -> Self {
        let (refuse, _) = watch::channel(false);
        Acceptor {
            refuse,
            open_connections: Mutex::default(),
            opened_count: AtomicU64::new(0),
            max_connections,
        }
    }

    /// Refuses new connections and closes the open ones if `refuse` is true; accepts again if not.
    pub(crate) fn set_refusing(&self, refuse: bool) {
        self.refuse.send_replace(refuse);
        if refuse {
            self.close_all();
        }
    }

    /// Closes all open connections, also those with a request in flight.
    pub(crate) fn close_all(&self) {
        for token in std::mem::take(&mut *lock(&self.open_connections)).into_values() {
            token.cancel();
        }
    }

    /// Connections open now, and connections opened since the start.
    pub(crate) fn connection_counts(&self) -> (usize, u64) {
        (lock(&self.open_connections).len(), self.opened_count.load(Ordering::Relaxed))
    }

    /// Accepts and serves connections until the future is dropped.
    pub(crate) async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        service: Arc<dyn Service>,
    ) -> io::Result<Infallible> {
        let address = listener.local_addr()?;
        let mut refuse = self.refuse.subscribe();
        let mut listener = Some(listener);
        loop {
            if *refuse.borrow_and_update() {
                // The operating system refuses connections only while no socket listens on the address.
                listener = None;
                if refuse.changed().await.is_err() {
                    return Err(io::Error::other("the acceptor was dropped"));
                }
                continue;
            }
            let open = match listener.take() {
                Some(open) => listener.insert(open),
                None => listener.insert(rebind(address).await),
            };
            tokio::select! {
                accepted = open.accept() => match accepted {
                    Ok((stream, _)) => self.clone().serve_accepted(stream, service.clone()),
                    Err(_) => sleep(REBIND_DELAY).await,
                },
                _ = refuse.changed() => {}
            }
        }
    }

    /// Serves a connection on a task of its own, or closes it if the limit is reached.
    fn serve_accepted(self: Arc<Self>, stream: TcpStream, service: Arc<dyn Service>) {
        let token = CancellationToken::new();
        let number = {
            let mut open = lock(&self.open_connections);
            if open.len() >= self.max_connections || *self.refuse.borrow() {
                return;
            }
            let number = self.opened_count.fetch_add(1, Ordering::Relaxed);
            open.insert(number, token.clone());
            number
        };
        let connection = Connection { opened_at: Instant::now(), request_count: AtomicU64::new(0) };
        tokio::spawn(async move {
            tokio::select! {
                () = serve_connection(stream, Arc::new(connection), service) => {}
                () = token.cancelled() => {}
            }
            lock(&self.open_connections).remove(&number);
        });
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(REBIND_DELAY).await,
        }
    }
}

/// Serves HTTP/1.1 on a connection until either side closes it.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    connection: Arc<Connection>,
    service: Arc<dyn Service>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handler = service_fn(move |request| {
        let (service, connection) = (service.clone(), connection.clone());
        handle_request(service, connection, request)
    });
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), handler)
        .await;
    // Errors are expected: fault switches break connections on purpose.
    drop(served);
}
