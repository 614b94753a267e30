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

/// Maximum number of idle connections kept; a VM seldom has more concurrent requests to the
/// platform.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Connections idle for longer are not reused: servers commonly close idle connections after 5 s or
/// more, and if the close races with a commit, the response to the commit looks lost.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Bounds the memory that a corrupt response can take.
const MAX_RESPONSE_BYTES: usize = 256 << 20;
/// Characters of an object name that are percent-encoded in a path.
const OBJECT_NAME_ESCAPES: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'/').remove(b'~');

inventory::submit! {
    PlatformPlugin { name: "http", build: HttpPlatform::open }
}

/// Client of a platform that serves JSON over HTTP/1.1.
///
/// A request that failed before it can have reached the platform returns `Unreachable`; one that
/// may have reached it returns `ResponseLost`.
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

struct PlatformResponse {
    status: StatusCode,
    body: Bytes,
}

impl HttpPlatform {
    /// Creates a client that opens connections on demand.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        HttpPlatform { address, timeout, idle: Mutex::default() }
    }

    /// Creates one client that serves as table, object store and VM list.
    pub fn open(context: &PlatformContext) -> Platform {
        let shared = Arc::new(HttpPlatform::new(context.address, context.timeout));
        Platform { table: shared.clone(), objects: shared.clone(), vms: shared }
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(sender, idle_since)| {
            !sender.is_closed() && idle_since.elapsed() < MAX_IDLE_AGE
        });
        idle.pop().map(|(sender, _)| sender)
    }

    fn keep_idle(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
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
    ) -> Result<PlatformResponse, PlatformError> {
        let deadline = Instant::now() + self.timeout;
        let body = Bytes::from(body);
        loop {
            let idle = self.take_idle();
            let reused = idle.is_some();
            let mut sender = match idle {
                Some(sender) => sender,
                None => timeout_at(deadline, self.connect())
                    .await
                    .unwrap_or_else(|_| Err(unreachable("connecting timed out")))?,
            };
            if !matches!(timeout_at(deadline, sender.ready()).await, Ok(Ok(()))) {
                if reused {
                    continue;
                }
                return Err(unreachable("the new connection closed or was not ready in time"));
            }
            let request = Request::builder()
                .method(&method)
                .uri(path)
                .header(http::header::HOST, self.address.to_string())
                .body(Full::new(body.clone()))
                .map_err(invalid_response)?;
            // From here on the request may have been received, unless hyper returns it unsent.
            let sent = timeout_at(deadline, sender.try_send_request(request)).await;
            let response =
                match sent.map_err(|_| response_lost("timed out waiting for the response"))? {
                    Ok(response) => response,
                    Err(mut error) => {
                        let unsent = error.take_message().is_some();
                        // The platform may close an idle connection at any time. Requests that were
                        // not sent, and reads, can be sent again.
                        if reused && (unsent || method == Method::GET) {
                            continue;
                        }
                        let error = error.into_error();
                        return Err(if unsent { unreachable(error) } else { response_lost(error) });
                    }
                };
            let status = response.status();
            let body = timeout_at(
                deadline,
                Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect(),
            )
            .await
            .map_err(|_| response_lost("timed out reading the response body"))?
            .map_err(response_lost)?
            .to_bytes();
            self.keep_idle(sender);
            return check_status(status, body);
        }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<Option<T>, PlatformError> {
        let query = form_urlencoded::Serializer::new(String::new()).extend_pairs(query).finish();
        let response = self.call(Method::GET, &format!("{path}?{query}"), Vec::new()).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        serde_json::from_slice(&response.body).map(Some).map_err(invalid_response)
    }
}

/// Returns a response with a success status or 404; every other status is an error.
fn check_status(status: StatusCode, body: Bytes) -> Result<PlatformResponse, PlatformError> {
    if status.is_success() || status == StatusCode::NOT_FOUND {
        return Ok(PlatformResponse { status, body });
    }
    Err(match status {
        StatusCode::CONFLICT => match serde_json::from_slice::<Conflict>(&body) {
            Ok(conflict) => PlatformError::Conflict { key: conflict.key },
            Err(error) => invalid_response(error),
        },
        StatusCode::TOO_MANY_REQUESTS => PlatformError::Throttled,
        StatusCode::SERVICE_UNAVAILABLE => unreachable("the platform responded with status 503"),
        // Any other server error may have occurred after the write.
        status if status.is_server_error() => {
            response_lost(format!("the platform responded with status {status}"))
        }
        status => invalid_response(format!("the platform responded with status {status}")),
    })
}

fn unreachable(reason: impl ToString) -> PlatformError {
    PlatformError::Unreachable(reason.to_string().into())
}

fn response_lost(reason: impl ToString) -> PlatformError {
    PlatformError::ResponseLost(reason.to_string().into())
}

fn invalid_response(reason: impl ToString) -> PlatformError {
    PlatformError::InvalidResponse(reason.to_string().into())
}

fn object_path(name: &str) -> String {
    format!("/objects/{}", utf8_percent_encode(name, OBJECT_NAME_ESCAPES))
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
            rows.ok_or_else(|| invalid_response("status 404: the platform address serves no table"))
        }
        .boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<RowVersion, PlatformError>> {
        async move {
            let body = serde_json::to_vec(transaction).map_err(invalid_response)?;
            let response = self.call(Method::POST, "/table/commit", body).await?;
            let committed: Committed =
                serde_json::from_slice(&response.body).map_err(invalid_response)?;
            Ok(committed.version)
        }
        .boxed()
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        async move {
            let response = self.call(Method::GET, &object_path(name), Vec::new()).await?;
            Ok((response.status != StatusCode::NOT_FOUND).then(|| response.body.into()))
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        async move {
            let response = self.call(Method::PUT, &object_path(name), bytes).await?;
            if response.status == StatusCode::NOT_FOUND {
                return Err(invalid_response(
                    "status 404: the platform address serves no object store",
                ));
            }
            Ok(())
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Box<str>>, PlatformError>> {
        async move {
            let names = self.get("/objects", &[("prefix", prefix)]).await?;
            names.ok_or_else(|| {
                invalid_response("status 404: the platform address serves no object store")
            })
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
            let body = serde_json::to_vec(entry).map_err(invalid_response)?;
            let response = self.call(Method::POST, "/vms", body).await?;
            if response.status == StatusCode::NOT_FOUND {
                return Err(invalid_response(
                    "status 404: the platform address serves no list of VMs",
                ));
            }
            Ok(())
        }
        .boxed()
    }

    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, PlatformError>> {
        async move {
            let list = self.get("/vms", &[]).await?;
            list.ok_or_else(|| {
                invalid_response("status 404: the platform address serves no list of VMs")
            })
        }
        .boxed()
    }
}
