use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Map, Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::door::{Connection, Door};
use crate::reply::{Reply, json};
use crate::switch;

/// What a stand-in does with a request.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers a request.
    fn answer(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Reply>;

    /// Changes switches; returns the former values of those that can be restored.
    fn control(&self, patch: Map<String, Value>) -> Result<Map<String, Value>, String>;

    /// The switches.
    fn switches(&self) -> Value;

    /// What was seen so far; `text` asks whether that text was received.
    fn seen(&self, text: Option<&str>) -> Value;
}

/// A running stand-in. It stops when this handle is dropped.
pub struct Server {
    address: SocketAddr,
    service: Arc<dyn Service>,
    door: Arc<Door>,
    task: JoinHandle<io::Result<Infallible>>,
}

impl Server {
    pub(crate) fn start(
        listener: TcpListener,
        service: Arc<dyn Service>,
        door: Arc<Door>,
    ) -> io::Result<Server> {
        let address = listener.local_addr()?;
        let task = tokio::spawn(door.clone().run(listener, service.clone()));
        Ok(Server { address, service, door, task })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes switches as `POST /control` does. Fails on unknown switches and wrong values.
    pub fn control(&self, patch: Value) -> Result<(), String> {
        control(&self.service, patch)
    }

    /// What `GET /seen` answers; `text` asks whether that text was received.
    pub fn seen(&self, text: Option<&str>) -> Value {
        self.service.seen(text)
    }

    /// Serves `/control` and `/seen` on another listener too, until the future is dropped. That
    /// one works while the stand-in refuses connections.
    pub fn serve_control(
        &self,
        listener: TcpListener,
    ) -> impl Future<Output = io::Result<Infallible>> + use<> {
        let control: Arc<dyn Service> = Arc::new(ControlOnly(self.service.clone()));
        Arc::new(Door::new(64)).run(listener, control)
    }

    /// Waits until the listener fails.
    pub async fn wait(mut self) -> io::Result<()> {
        match (&mut self.task).await {
            Ok(Ok(never)) => match never {},
            Ok(Err(error)) => Err(error),
            Err(error) => Err(io::Error::other(error)),
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
        self.door.close_all();
    }
}

/// Answers nothing but what [`answer`] answers for every stand-in.
struct ControlOnly(Arc<dyn Service>);

impl Service for ControlOnly {
    fn answer(
        self: Arc<Self>,
        _connection: Arc<Connection>,
        _request: Request<Incoming>,
    ) -> BoxFuture<'static, Reply> {
        let error = json!({"error": "only /control and /seen are served here"});
        Box::pin(async move { json(StatusCode::NOT_FOUND, &error) })
    }

    fn control(&self, patch: Map<String, Value>) -> Result<Map<String, Value>, String> {
        self.0.control(patch)
    }

    fn switches(&self) -> Value {
        self.0.switches()
    }

    fn seen(&self, text: Option<&str>) -> Value {
        self.0.seen(text)
    }
}

/// Applies a patch; its field `for_ms` restores the former values after that time.
fn control(service: &Arc<dyn Service>, patch: Value) -> Result<(), String> {
    let Value::Object(mut patch) = patch else {
        return Err("send a JSON object of switches".to_owned());
    };
    let restore: Option<u64> = switch::take(&mut patch, "for_ms")?;
    let former = service.control(patch)?;
    if let Some(millis) = restore {
        let service = service.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            service.control(former)
        });
    }
    Ok(())
}

/// Answers `/control` and `/seen` itself and leaves the rest to the service.
pub(crate) async fn answer(
    service: Arc<dyn Service>,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/control") => json(StatusCode::OK, &service.switches()),
        (&Method::POST, "/control") => {
            let body = request.into_body().collect().await;
            let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
            let changed = serde_json::from_slice(&bytes)
                .map_err(|error| error.to_string())
                .and_then(|patch| control(&service, patch));
            match changed {
                Ok(()) => json(StatusCode::OK, &service.switches()),
                Err(error) => json(StatusCode::BAD_REQUEST, &json!({"error": error})),
            }
        }
        (&Method::GET, "/seen") => {
            let text = query(request.uri(), "text");
            json(StatusCode::OK, &service.seen(text.as_deref()))
        }
        _ => service.answer(connection, request).await,
    }
}

/// The value of a query parameter.
pub(crate) fn query(uri: &http::Uri, name: &str) -> Option<String> {
    let pairs = form_urlencoded::parse(uri.query().unwrap_or_default().as_bytes());
    pairs.into_iter().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}
