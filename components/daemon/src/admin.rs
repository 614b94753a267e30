use std::convert::Infallible;
use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use kernel::prelude::*;
use membership::MemberStatus;
use telemetry::PeerState;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::rights::{EJECT, RATE};
use crate::shared::Shared;

/// Maximum number of concurrent connections; a metrics collector and a few operators need fewer.
const MAX_CONNECTIONS: usize = 16;
/// Timeout for the head of a request. It also closes idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept, so that a VM without free file descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Content type of all other responses.
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

impl Shared {
    /// Updates the gauges and encodes all metrics in the Prometheus text format.
    fn metrics_text(&self) -> Result<String, std::fmt::Error> {
        let metrics = &self.request_metrics.metrics;
        let now = self.now();
        metrics.set_config_version(self.config_version());
        metrics.set_config_age(self.staleness(now));
        let (alive, suspect, dead) = self.count_vms(now);
        metrics.set_peers(PeerState::Alive, alive);
        metrics.set_peers(PeerState::Suspect, suspect);
        metrics.set_peers(PeerState::Dead, dead);
        // While the holder waits for the platform, the gauges keep their last values.
        if let Ok(holder) = self.holder.try_lock() {
            let held = holder.held();
            for kind in [RATE, EJECT] {
                let units = held.iter().filter(|(k, _, _)| &**k == kind);
                metrics.set_units(kind, units.map(|(_, _, h)| u64::from(h.units)).sum());
            }
        }
        metrics.encode()
    }

    /// Counts the other VMs that are alive, suspect and dead.
    fn count_vms(&self, now: Uptime) -> (usize, usize, usize) {
        let membership = self.membership();
        let others = membership.live().filter(|vm| vm.incarnation != self.this_vm.incarnation);
        let others: Vec<_> = others.map(|vm| vm.incarnation).collect();
        let suspect = |vm: &&Incarnation| membership.status(**vm) == Some(MemberStatus::Suspect);
        let suspects = others.iter().filter(suspect).count();
        let (_, known) = membership.heard_within(now, Duration::ZERO);
        (others.len() - suspects, suspects, known.saturating_sub(1 + others.len()))
    }

    /// Returns why this VM should get no new callers, or `None` if it is healthy.
    fn unhealthy_reason(&self) -> Option<Box<str>> {
        if self.flags.stopping() {
            return Some("stopping".into());
        }
        if self.engine().is_none() {
            return Some("starting; the configuration has not been read yet".into());
        }
        self.check_freshness().err().map(|refusal| refusal.message)
    }

    fn admin_response(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        if method != Method::GET {
            let mut response =
                build_response(StatusCode::METHOD_NOT_ALLOWED, TEXT_CONTENT_TYPE, "use GET\n");
            response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET"));
            return response;
        }
        match path {
            "/metrics" => match self.metrics_text() {
                Ok(metrics) => build_response(StatusCode::OK, METRICS_CONTENT_TYPE, metrics),
                Err(error) => {
                    let message = format!("cannot encode the metrics: {error}\n");
                    build_response(StatusCode::INTERNAL_SERVER_ERROR, TEXT_CONTENT_TYPE, message)
                }
            },
            "/healthz" => match self.unhealthy_reason() {
                None => build_response(StatusCode::OK, TEXT_CONTENT_TYPE, "ok\n"),
                Some(why) => build_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    TEXT_CONTENT_TYPE,
                    format!("{why}\n"),
                ),
            },
            _ => build_response(
                StatusCode::NOT_FOUND,
                TEXT_CONTENT_TYPE,
                "use /metrics or /healthz\n",
            ),
        }
    }
}

fn build_response(
    status: StatusCode,
    content: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content));
    response
}

/// Serves metrics and health until `stop` is cancelled.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accept = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            () = stop.cancelled() => return,
            accepted = accept => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                telemetry::event!(ADMIN_UNSERVED, error = error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let shared = Arc::clone(&shared);
        let stop = stop.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = shared.admin_response(request.method(), request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                // Errors of a collector's connection are ignored; they say nothing about the fleet.
                _ = connection => {}
                () = stop.cancelled() => {}
            }
            drop(permit);
        });
    }
}
