use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use kernel::{
    ObjectStore, Platform, PlatformContext, PlatformError, PlatformPlugin, Row, RowVersion,
    TableStore, Transaction, VmEntry, VmList,
};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections that are kept. A VM seldom has more requests to the platform at once.
const MAX_IDLE: usize = 4;
/// Age at which an idle connection is not used again. Servers commonly close after 5 s or more, and
/// a close that crosses a commit makes its reply look lost.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Largest answer, in bytes. Bounds the memory that a damaged answer can take.
const MAX_ANSWER: usize = 256 << 20;
/// Characters of an object name that stand for themselves in a path.
const NAME: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'/').remove(b'~');

inventory::submit! {
    PlatformPlugin { name: "http", build: HttpPlatform::open }
}

/// Adapter to a platform that speaks JSON over HTTP/1.1.
///
/// A request that cannot have reached the platform ends in `Unreachable`; one that may have reached
/// it ends in `ResponseLost`.
pub struct HttpPlatform {
    address: SocketAddr,
    timeout: Duration,
    idle: Mutex<Vec<(Sender, Instant)>>,
}

#[derive(Deserialize)]
struct Conflict {
    key: Box<str>,
}

#[derive(Deserialize)]
struct Committed {
    version: RowVersion,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl HttpPlatform {
    /// An adapter that opens connections when they are needed.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        HttpPlatform { address, timeout, idle: Mutex::default() }
    }

    /// The three services over one adapter.
    pub fn open(context: &PlatformContext) -> Platform {
        let shared = Arc::new(HttpPlatform::new(context.address, context.timeout));
        Platform { table: shared.clone(), objects: shared.clone(), vms: shared }
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(sender, since)| !sender.is_closed() && since.elapsed() < MAX_IDLE_AGE);
        idle.pop().map(|(sender, _)| sender)
    }

    fn keep_idle(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE && !sender.is_closed() {
            idle.push((sender, Instant::now()));
        }
    }

    async fn connect(&self) -> Result<Sender, PlatformError> {
        let stream = TcpStream::connect(self.address).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(unreachable)?;
        tokio::spawn(connection.map(|ended| {
            if let Err(error) = ended {
                log::debug!("connection to the platform ended: {error}");
            }
        }));
        Ok(sender)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, PlatformError> {
        let by = Instant::now() + self.timeout;
        let body = Bytes::from(body);
        loop {
            let idle = self.take_idle();
            let reused = idle.is_some();
            let mut sender = match idle {
                Some(sender) => sender,
                None => timeout_at(by, self.connect())
                    .await
                    .unwrap_or_else(|_| Err(unreachable("no connection in time")))?,
            };
            if !matches!(timeout_at(by, sender.ready()).await, Ok(Ok(()))) {
                if reused {
                    continue;
                }
                return Err(unreachable("the connection closed at once"));
            }
            let request = Request::builder()
                .method(&method)
                .uri(path)
                .header(http::header::HOST, self.address.to_string())
                .body(Full::new(body.clone()))
                .map_err(garbled)?;
            // From here on the request may have arrived, unless hyper hands it back.
            let sent = timeout_at(by, sender.try_send_request(request)).await;
            let response = match sent.map_err(|_| lost("no answer in time"))? {
                Ok(response) => response,
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    // The platform may close an idle connection at any time; a read may run twice.
                    if reused && (unsent || method == Method::GET) {
                        continue;
                    }
                    let error = error.into_error();
                    return Err(if unsent { unreachable(error) } else { lost(error) });
                }
            };
            let status = response.status();
            let body = timeout_at(by, Limited::new(response.into_body(), MAX_ANSWER).collect())
                .await
                .map_err(|_| lost("half an answer in time"))?
                .map_err(lost)?
                .to_bytes();
            self.keep_idle(sender);
            return accept(status, body);
        }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<Option<T>, PlatformError> {
        let query = form_urlencoded::Serializer::new(String::new()).extend_pairs(query).finish();
        let answer = self.call(Method::GET, &format!("{path}?{query}"), Vec::new()).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        serde_json::from_slice(&answer.body).map(Some).map_err(garbled)
    }
}

/// Success and 404 are answers; every other status is an error.
fn accept(status: StatusCode, body: Bytes) -> Result<Answer, PlatformError> {
    if status.is_success() || status == StatusCode::NOT_FOUND {
        return Ok(Answer { status, body });
    }
    Err(match status {
        StatusCode::CONFLICT => match serde_json::from_slice::<Conflict>(&body) {
            Ok(conflict) => PlatformError::Conflict { key: conflict.key },
            Err(error) => garbled(error),
        },
        StatusCode::TOO_MANY_REQUESTS => PlatformError::Throttled,
        StatusCode::SERVICE_UNAVAILABLE => unreachable("it answered 503"),
        // Any other failure on the server's side may have come after the write.
        status if status.is_server_error() => lost(format!("it answered {status}")),
        status => garbled(format!("it answered {status}")),
    })
}

fn unreachable(reason: impl ToString) -> PlatformError {
    PlatformError::Unreachable(reason.to_string().into())
}

fn lost(reason: impl ToString) -> PlatformError {
    PlatformError::ResponseLost(reason.to_string().into())
}

fn garbled(reason: impl ToString) -> PlatformError {
    PlatformError::InvalidResponse(reason.to_string().into())
}

fn object_path(name: &str) -> String {
    format!("/objects/{}", utf8_percent_encode(name, NAME))
}

impl TableStore for HttpPlatform {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, PlatformError>> {
        async move { self.get("/table/row", &[("key", key)]).await }.boxed()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Vec<Row>, PlatformError>> {
        async move {
            let limit = limit.to_string();
            let query = [("prefix", prefix), ("after", after), ("limit", &limit)];
            let rows = self.get("/table/scan", &query).await?;
            rows.ok_or_else(|| garbled("no table at this address"))
        }
        .boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<RowVersion, PlatformError>> {
        async move {
            let body = serde_json::to_vec(transaction).map_err(garbled)?;
            let answer = self.call(Method::POST, "/table/commit", body).await?;
            let committed: Committed = serde_json::from_slice(&answer.body).map_err(garbled)?;
            Ok(committed.version)
        }
        .boxed()
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        async move {
            let answer = self.call(Method::GET, &object_path(name), Vec::new()).await?;
            Ok((answer.status != StatusCode::NOT_FOUND).then(|| answer.body.into()))
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        async move {
            let answer = self.call(Method::PUT, &object_path(name), bytes).await?;
            if answer.status == StatusCode::NOT_FOUND {
                return Err(garbled("no object store at this address"));
            }
            Ok(())
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Box<str>>, PlatformError>> {
        async move {
            let names = self.get("/objects", &[("prefix", prefix)]).await?;
            names.ok_or_else(|| garbled("no object store at this address"))
        }
        .boxed()
    }

    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), PlatformError>> {
        async move { self.call(Method::DELETE, &object_path(name), Vec::new()).await.map(drop) }
            .boxed()
    }
}

impl VmList for HttpPlatform {
    fn announce<'a>(&'a self, entry: &'a VmEntry) -> BoxFuture<'a, Result<(), PlatformError>> {
        async move {
            let body = serde_json::to_vec(entry).map_err(garbled)?;
            let answer = self.call(Method::POST, "/vms", body).await?;
            if answer.status == StatusCode::NOT_FOUND {
                return Err(garbled("no list of VMs at this address"));
            }
            Ok(())
        }
        .boxed()
    }

    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, PlatformError>> {
        async move {
            let list = self.get("/vms", &[]).await?;
            list.ok_or_else(|| garbled("no list of VMs at this address"))
        }
        .boxed()
    }
}
