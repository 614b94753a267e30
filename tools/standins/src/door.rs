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

use crate::server::{Service, answer};

/// Wait between attempts to listen again.
const REBIND: Duration = Duration::from_millis(20);

/// Locks a mutex whose data is valid at every moment.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One accepted connection.
pub(crate) struct Connection {
    /// When it was accepted.
    pub(crate) opened: Instant,
    /// Requests that came on it.
    pub(crate) requests: AtomicU64,
}

/// Accepts connections, and can refuse them or close all that are open.
pub(crate) struct Door {
    refuse: watch::Sender<bool>,
    open: Mutex<BTreeMap<u64, CancellationToken>>,
    opened: AtomicU64,
    most: usize,
}

impl Door {
    /// A door for at most `most` connections at once.
    pub(crate) fn new(most: usize) -> Self {
        let (refuse, _) = watch::channel(false);
        Door { refuse, open: Mutex::default(), opened: AtomicU64::new(0), most }
    }

    /// Refuses new connections and closes those that are open, or accepts again.
    pub(crate) fn refuse(&self, refuse: bool) {
        self.refuse.send_replace(refuse);
        if refuse {
            self.close_all();
        }
    }

    /// Closes all open connections, whatever they are doing.
    pub(crate) fn close_all(&self) {
        for token in std::mem::take(&mut *lock(&self.open)).into_values() {
            token.cancel();
        }
    }

    /// Connections open now, and opened ever.
    pub(crate) fn counts(&self) -> (usize, u64) {
        (lock(&self.open).len(), self.opened.load(Ordering::Relaxed))
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
                // Closing the listener is the only way to have the system refuse connections.
                listener = None;
                if refuse.changed().await.is_err() {
                    return Err(io::Error::other("the door is gone"));
                }
                continue;
            }
            let open = match listener.take() {
                Some(open) => listener.insert(open),
                None => listener.insert(rebind(address).await),
            };
            tokio::select! {
                accepted = open.accept() => match accepted {
                    Ok((stream, _)) => self.clone().enter(stream, service.clone()),
                    Err(_) => sleep(REBIND).await,
                },
                _ = refuse.changed() => {}
            }
        }
    }

    /// Serves one connection, or closes it if there are too many.
    fn enter(self: Arc<Self>, stream: TcpStream, service: Arc<dyn Service>) {
        let token = CancellationToken::new();
        let number = {
            let mut open = lock(&self.open);
            if open.len() >= self.most || *self.refuse.borrow() {
                return;
            }
            let number = self.opened.fetch_add(1, Ordering::Relaxed);
            open.insert(number, token.clone());
            number
        };
        let connection = Connection { opened: Instant::now(), requests: AtomicU64::new(0) };
        tokio::spawn(async move {
            tokio::select! {
                () = serve(stream, Arc::new(connection), service) => {}
                () = token.cancelled() => {}
            }
            lock(&self.open).remove(&number);
        });
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(REBIND).await,
        }
    }
}

/// Serves HTTP/1.1 on one connection until either side closes it.
pub(crate) async fn serve(
    stream: TcpStream,
    connection: Arc<Connection>,
    service: Arc<dyn Service>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handler = service_fn(move |request| {
        let (service, connection) = (service.clone(), connection.clone());
        answer(service, connection, request)
    });
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), handler)
        .await;
    // A broken connection is a normal event here: the switches break them.
    drop(served);
}
