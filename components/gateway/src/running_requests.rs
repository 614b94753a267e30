use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::connection_progress::ConnectionProgress;

new_key_type! {
    /// Key of a running request.
    pub struct RequestKey;
}

/// How far a request of a caller has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Its head was read; its body may be on its way.
    Read,
    /// It waits for a slot of a backend server.
    Waiting,
    /// It was sent to a backend server.
    Sent,
}

impl Stage {
    /// The stage as the log names it.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Read => "read",
            Stage::Waiting => "waiting",
            Stage::Sent => "sent",
        }
    }
}

/// A request that has no response yet.
#[derive(Clone, Debug)]
pub struct RunningRequest {
    /// Request id; empty if the caller sent none.
    pub id: Box<str>,
    /// Route; empty before it is known.
    pub route: RouteId,
    /// Backend server that it was last sent to; empty before.
    pub backend: BackendId,
    /// When its head was read.
    pub since: Uptime,
    /// How far it has come.
    pub stage: Stage,
    /// Connection that it came on.
    pub connection: Arc<ConnectionProgress>,
}

impl RunningRequest {
    /// Logs that the process ends while the request runs.
    pub fn log_unfinished(&self, now: Uptime) {
        telemetry::event!(
            REQUEST_UNFINISHED,
            request = self.id,
            route = self.route,
            backend = self.backend,
            stage = self.stage.as_str(),
            age_ms = now.saturating_sub(self.since).as_millis() as u64,
        );
    }
}

/// The requests of callers that have no response yet, so that a process that ends with some can
/// log which.
#[derive(Default)]
pub struct RunningRequests(Mutex<SlotMap<RequestKey, RunningRequest>>);

/// Removes a request on drop.
pub struct RunningGuard<'a> {
    requests: &'a RunningRequests,
    /// Key of the request.
    pub key: RequestKey,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.requests.lock().remove(self.key);
    }
}

impl RunningRequests {
    fn lock(&self) -> MutexGuard<'_, SlotMap<RequestKey, RunningRequest>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request until the guard is dropped.
    pub fn begin(
        &self,
        id: Box<str>,
        since: Uptime,
        connection: Arc<ConnectionProgress>,
    ) -> RunningGuard<'_> {
        let (route, backend) = ("".into(), "".into());
        let request = RunningRequest { id, route, backend, since, stage: Stage::Read, connection };
        RunningGuard { requests: self, key: self.lock().insert(request) }
    }

    /// Records that a request of a route waits for a slot.
    pub fn record_wait(&self, key: RequestKey, route: &RouteId) {
        if let Some(request) = self.lock().get_mut(key) {
            request.route = route.clone();
            request.stage = Stage::Waiting;
        }
    }

    /// Records that a request is sent to a backend server.
    pub fn record_send(&self, key: RequestKey, backend: &BackendId) {
        if let Some(request) = self.lock().get_mut(key) {
            if request.backend.is_empty() {
                request.connection.record_send();
            }
            request.backend = backend.clone();
            request.stage = Stage::Sent;
        }
    }

    /// A running request.
    pub fn get(&self, key: RequestKey) -> Option<RunningRequest> {
        self.lock().get(key).cloned()
    }

    /// All running requests.
    pub fn list(&self) -> Vec<RunningRequest> {
        self.lock().values().cloned().collect()
    }
}
