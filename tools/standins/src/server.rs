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

use crate::acceptor::{Acceptor, Connection};
use crate::fault_switches;
use crate::response::{HandlerResult, json_response};

/// Request handling and fault switches of a stand-in.
pub(crate) trait Service: Send + Sync + 'static {
    /// Handles a request other than those of `/control` and `/seen`.
    fn handle(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, HandlerResult>;

    /// Sets fault switches; returns the former values of those that can be restored.
    fn control(&self, patch: Map<String, Value>) -> Result<Map<String, Value>, String>;

    /// Returns the current fault switches.
    fn fault_switches(&self) -> Value;

    /// Returns what was observed so far; `text` asks whether that text was received.
    fn observed(&self, text: Option<&str>) -> Value;
}

/// A running stand-in. It stops when this handle is dropped.
pub struct Server {
    address: SocketAddr,
    service: Arc<dyn Service>,
    acceptor: Arc<Acceptor>,
    task: JoinHandle<io::Result<Infallible>>,
}

impl Server {
    pub(crate) fn start(
        listener: TcpListener,
        service: Arc<dyn Service>,
        acceptor: Arc<Acceptor>,
    ) -> io::Result<Server> {
        let address = listener.local_addr()?;
        let task = tokio::spawn(acceptor.clone().run(listener, service.clone()));
        Ok(Server { address, service, acceptor, task })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets fault switches, as `POST /control` does. Fails on unknown switches and invalid values.
    pub fn control(&self, patch: Value) -> Result<(), String> {
        apply_control(&self.service, patch)
    }

    /// Returns the response to `GET /seen`; `text` asks whether that text was received.
    pub fn observed(&self, text: Option<&str>) -> Value {
        self.service.observed(text)
    }

    /// Serves `/control` and `/seen` on a second listener until the future is dropped. This
    /// listener also works while the stand-in refuses connections.
    pub fn serve_control(
        &self,
        listener: TcpListener,
    ) -> impl Future<Output = io::Result<Infallible>> + use<> {
        let control: Arc<dyn Service> = Arc::new(ControlOnly(self.service.clone()));
        Arc::new(Acceptor::new(64)).run(listener, control)
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
        self.acceptor.close_all();
    }
}

/// Serves only `/control` and `/seen`, which [`handle_request`] handles for every stand-in.
struct ControlOnly(Arc<dyn Service>);

impl Service for ControlOnly {
    fn handle(
        self: Arc<Self>,
        _connection: Arc<Connection>,
        _request: Request<Incoming>,
    ) -> BoxFuture<'static, HandlerResult> {
        let error = json!({"error": "only /control and /seen are served here"});
        Box::pin(async move { json_response(StatusCode::NOT_FOUND, &error) })
    }

    fn control(&self, patch: Map<String, Value>) -> Result<Map<String, Value>, String> {
        self.0.control(patch)
    }

    fn fault_switches(&self) -> Value {
        self.0.fault_switches()
    }

    fn observed(&self, text: Option<&str>) -> Value {
        self.0.observed(text)
    }
}

/// Applies a patch. Its field `for_ms` restores the former values after that time.
fn apply_control(service: &Arc<dyn Service>, patch: Value) -> Result<(), String> {
    let Value::Object(mut patch) = patch else {
        return Err("the body must be a JSON object of fault switches".to_owned());
    };
    let restore_after_ms: Option<u64> = fault_switches::take(&mut patch, "for_ms")?;
    let former = service.control(patch)?;
    if let Some(millis) = restore_after_ms {
        let service = service.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            service.control(former)
        });
    }
    Ok(())
}

/// Handles `/control` and `/seen`, and passes other requests to the service.
pub(crate) async fn handle_request(
    service: Arc<dyn Service>,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> HandlerResult {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/control") => json_response(StatusCode::OK, &service.fault_switches()),
        (&Method::POST, "/control") => {
            let body = request.into_body().collect().await;
            let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
            let changed = serde_json::from_slice(&bytes)
                .map_err(|error| error.to_string())
                .and_then(|patch| apply_control(&service, patch));
            match changed {
                Ok(()) => json_response(StatusCode::OK, &service.fault_switches()),
                Err(error) => json_response(StatusCode::BAD_REQUEST, &json!({"error": error})),
            }
        }
        (&Method::GET, "/seen") => {
            let text = query_parameter(request.uri(), "text");
            json_response(StatusCode::OK, &service.observed(text.as_deref()))
        }
        _ => service.handle(connection, request).await,
    }
}

/// Returns the decoded value of a query parameter.
pub(crate) fn query_parameter(uri: &http::Uri, name: &str) -> Option<String> {
    let pairs = form_urlencoded::parse(uri.query().unwrap_or_default().as_bytes());
    pairs.into_iter().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}
