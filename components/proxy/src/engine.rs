use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use kernel::prelude::*;
use kernel::{Admission, VmEntry};
use retry::{IdempotencyKey, IdempotencyLimits, IdempotencyTable};
use tokio_util::sync::CancellationToken;

use crate::attempt::{AttemptFailure, Delivery};
use crate::body::{Body, read_body};
use crate::call::Call;
use crate::fleet::Fleet;
use crate::forward::{Forwarder, MAX_HOPS};
use crate::headers::{REQUEST_ID_HEADER, RESOLVE_PATH};
use crate::idempotency::{Execution, IdempotentExecutor};
use crate::record::RequestRecord;
use crate::refusal_response::{refusal_response, response_outcome};
use crate::resolve;
use crate::retries::RunError;
use crate::scheduler::ServiceScheduler;

/// Settings of the request path.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Fleet secret with which VMs authenticate forwarded requests.
    pub secret: Box<[u8]>,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving the body of a forwarded request.
    pub body_timeout: Duration,
    /// Time for which callers may cache a resolve response.
    pub resolve_ttl: Duration,
    /// Maximum number of addresses in a resolve response.
    pub max_addresses: usize,
    /// Cancelled when a stopping VM must answer the requests in progress.
    pub answers_due: CancellationToken,
}

/// Handles the requests that a VM receives from callers and other VMs.
pub struct Engine {
    fleet: Arc<dyn Fleet>,
    options: EngineOptions,
    forwarder: Forwarder,
    executor: IdempotentExecutor,
    schedulers: RwLock<HashMap<ServiceId, Arc<ServiceScheduler>>>,
}

impl Engine {
    /// Creates an engine without schedulers.
    pub fn new(fleet: Arc<dyn Fleet>, options: EngineOptions) -> Arc<Self> {
        let table =
            IdempotencyTable::new(fleet.this_vm().incarnation, IdempotencyLimits::default());
        Arc::new(Engine {
            forwarder: Forwarder::new(options.secret.clone()),
            executor: IdempotentExecutor::new(table),
            schedulers: RwLock::default(),
            fleet,
            options,
        })
    }

    pub(crate) fn fleet(&self) -> &Arc<dyn Fleet> {
        &self.fleet
    }

    /// Cancelled when a stopping VM must answer the requests in progress.
    pub(crate) fn answers_due(&self) -> &CancellationToken {
        &self.options.answers_due
    }

    pub(crate) fn executor(&self) -> &IdempotentExecutor {
        &self.executor
    }

    /// Schedulers that have been created on this VM, by service.
    pub fn schedulers(&self) -> Vec<(ServiceId, Arc<ServiceScheduler>)> {
        let schedulers = self.schedulers.read().unwrap_or_else(PoisonError::into_inner);
        schedulers.iter().map(|(id, scheduler)| (id.clone(), Arc::clone(scheduler))).collect()
    }

    /// Drops the connections to the VMs that `keep` rejects.
    pub fn retain_vms(&self, keep: impl Fn(Incarnation) -> bool) {
        self.forwarder.retain(keep);
    }

    /// Applies the services and backend servers of the configuration in force.
    pub fn apply_config(&self) {
        let lookup = self.fleet.lookup();
        self.schedulers
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|id, _| lookup.config.services.contains_key(id));
        for (id, scheduler) in self.schedulers() {
            if let Some(service) = lookup.config.services.get(&id) {
                scheduler.set_backends(&self.local_backends(&service.backends));
            }
        }
    }

    /// Backend servers that this VM schedules, which are those of its region.
    fn local_backends(&self, all: &[BackendSpec]) -> Vec<BackendSpec> {
        let region = &self.fleet.this_vm().place.region;
        all.iter().filter(|b| b.place.region == *region).cloned().collect()
    }

    /// Returns the scheduler of a service on this VM and creates it if necessary.
    pub fn scheduler(&self, id: &str) -> Result<Arc<ServiceScheduler>, Refusal> {
        let existing =
            self.schedulers.read().unwrap_or_else(PoisonError::into_inner).get(id).cloned();
        if let Some(scheduler) = existing {
            return Ok(scheduler);
        }
        let lookup = self.fleet.lookup();
        let service = lookup.config.services.get(id).ok_or_else(|| {
            let message = format!("service {id:?} does not exist; check the configuration");
            Refusal::not_run(RefusalKind::RouteUnknown, message)
        })?;
        let options = self.fleet.scheduler_options(id)?;
        let scheduler = ServiceScheduler::new(id.into(), Arc::clone(&self.fleet), options);
        scheduler.set_backends(&self.local_backends(&service.backends));
        let mut schedulers = self.schedulers.write().unwrap_or_else(PoisonError::into_inner);
        Ok(Arc::clone(schedulers.entry(id.into()).or_insert(scheduler)))
    }

    /// Handles a request of a caller or of another VM.
    pub async fn handle<B>(self: &Arc<Self>, request: Request<B>) -> Response<Body>
    where
        B: http_body::Body<Data = Bytes> + Send + 'static,
        B::Error: std::fmt::Display,
    {
        let id: Box<str> = format!("{:016x}", self.fleet.random()).into();
        let forwarded = Forwarder::is_forwarded(request.headers());
        let mut record = RequestRecord::new(id.clone(), forwarded);
        let start = self.fleet.now();
        let result = self.respond_until_due(request, &id, &mut record).await;
        let mut response = match result {
            Ok(response) => response,
            Err(refusal) => {
                record.refusal = Some(refusal.kind);
                refusal_response(&refusal)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&record.id) {
            response.headers_mut().entry(REQUEST_ID_HEADER).or_insert(value);
        }
        record.set_result(&response, self.fleet.now().saturating_sub(start));
        self.fleet.record_request(&record);
        response
    }

    /// Responds to a request, at the latest when a stopping VM must answer.
    async fn respond_until_due<B>(
        self: &Arc<Self>,
        request: Request<B>,
        id: &str,
        record: &mut RequestRecord,
    ) -> Result<Response<Body>, Refusal>
    where
        B: http_body::Body<Data = Bytes> + Send + 'static,
        B::Error: std::fmt::Display,
    {
        let due = &self.options.answers_due;
        let refusal = if due.is_cancelled() {
            let message = "this VM stops; send the request to another VM";
            Refusal::not_run(RefusalKind::Stopping, message)
        } else {
            tokio::select! {
                result = self.respond(request, id, record) => return result,
                () = due.cancelled() => {
                    let message = "this VM stops before the request has a response; it may have run";
                    Refusal::unknown(RefusalKind::Stopping, message)
                }
            }
        };
        let outcome = refusal.outcome.as_str();
        telemetry::event!(REQUEST_CUT, request = id, service = &*record.service, outcome = outcome);
        Err(refusal)
    }

    async fn respond<B>(
        self: &Arc<Self>,
        request: Request<B>,
        id: &str,
        record: &mut RequestRecord,
    ) -> Result<Response<Body>, Refusal>
    where
        B: http_body::Body<Data = Bytes> + Send + 'static,
        B::Error: std::fmt::Display,
    {
        let (head, body) = request.into_parts();
        if head.uri.path() == RESOLVE_PATH {
            let options = &self.options;
            return resolve::resolve(
                &*self.fleet,
                &head.uri,
                options.resolve_ttl,
                options.max_addresses,
            );
        }
        let limit = self.options.max_body_bytes;
        if record.forwarded {
            let body = read_body(body, limit, self.options.body_timeout).await?;
            let now = self.fleet.now();
            let call = self.forwarder.verify(&head, body, &self.fleet.lookup(), now)?;
            record.set_request(&call);
            return self.execute(call).await;
        }
        let now = self.fleet.now();
        let mut call = Call::check(&head, &self.fleet.lookup(), now, id.into())?;
        record.set_request(&call);
        if call.key.is_some() {
            self.fleet.check_config_freshness()?;
        }
        call.body = read_body(body, limit, call.remaining(now)?).await?;
        self.execute(call).await
    }

    /// Runs the request on the VM that is responsible for it.
    async fn execute(self: &Arc<Self>, call: Call) -> Result<Response<Body>, Refusal> {
        if call.idempotent || call.key_checked {
            return self.schedule(call).await;
        }
        let caller_generated = matches!(
            IdempotencyKey::try_from(call.idempotency_key.as_deref().unwrap_or_default()),
            Ok(IdempotencyKey::CallerGenerated(_))
        );
        // The home claims a caller-generated key, so that repeated requests through other VMs are
        // checked against the same idempotency table.
        if caller_generated
            && call.hops == 0
            && let Some(home) = self.remote_home(&call)
        {
            match self.forwarder.send(&call, &home, self.fleet.now()).await {
                Ok(response) => return Ok(response),
                Err(failure) if failure.delivery == Delivery::MaybeRun => {
                    return Err(failure.refusal);
                }
                // The home did not receive the request, so this VM claims the key instead.
                Err(_) => {}
            }
        }
        match self.executor.run(self, call.clone()).await? {
            Execution::Completed(response) => Ok(response),
            Execution::OtherIncarnation(incarnation) => {
                self.forward_to_owner(call, incarnation).await
            }
        }
    }

    /// Forwards a request to the VM that owns its idempotency key, the only one that may run it.
    async fn forward_to_owner(
        &self,
        call: Call,
        to: Incarnation,
    ) -> Result<Response<Body>, Refusal> {
        let unreachable = || {
            Refusal::unknown(
                RefusalKind::AnswerLost,
                "the VM that the idempotency key names cannot be reached; if the request was \
                 never sent before, send it with a prefix of a new entry response",
            )
        };
        if call.hops >= MAX_HOPS {
            return Err(unreachable());
        }
        let vm = self.fleet.find_vm(to).ok_or_else(unreachable)?;
        self.forwarder.send(&call, &vm, self.fleet.now()).await.map_err(|failure| {
            // An earlier request with the key may have run, so the outcome is unknown even if this
            // one was not sent.
            if failure.delivery == Delivery::MaybeRun { failure.refusal } else { unreachable() }
        })
    }

    /// Runs a request that has passed the check of its idempotency key on this VM.
    pub(crate) async fn run_checked(
        self: &Arc<Self>,
        mut call: Call,
    ) -> Result<Response<Body>, Refusal> {
        call.key_checked = true;
        self.schedule(call).await
    }

    fn remote_home(&self, call: &Call) -> Option<VmEntry> {
        let this_vm = self.fleet.this_vm();
        let home = self.fleet.homes(&call.service, &this_vm.place.region).into_iter().next()?;
        (home.incarnation != this_vm.incarnation).then_some(home)
    }

    /// Runs the request at the home of its service, which may be this VM or another one.
    async fn schedule(self: &Arc<Self>, call: Call) -> Result<Response<Body>, Refusal> {
        // Except after a check of its idempotency key, a forwarded request is not forwarded to a VM
        // of the same region again: two VMs that disagree on the home would form a loop.
        let may_forward = call.hops == 0 || (call.key_checked && call.hops < MAX_HOPS);
        if may_forward && let Some(home) = self.remote_home(&call) {
            match self.forwarder.send(&call, &home, self.fleet.now()).await {
                Ok(response) => return Ok(response),
                Err(failure) if failure.delivery == Delivery::MaybeRun && !call.idempotent => {
                    return Err(failure.refusal);
                }
                // The request may run again, but no later refusal may claim that it has not run.
                Err(failure) if failure.delivery == Delivery::MaybeRun => {
                    return as_unknown(self.run_locally(call).await);
                }
                // The home did not receive the request, so this VM schedules it.
                Err(_) => {}
            }
        }
        self.run_locally(call).await
    }

    async fn run_locally(self: &Arc<Self>, mut call: Call) -> Result<Response<Body>, Refusal> {
        if !call.admitted {
            self.wait_for_token(&call).await?;
            call.admitted = true;
        }
        let scheduler = self.scheduler(&call.service)?;
        self.run_with_scheduler(&scheduler, &call).await
    }

    /// Runs the request with the scheduler of this VM, or forwards it to the home of another region
    /// if that has free slots or is the arbiter of the crash guard.
    async fn run_with_scheduler(
        &self,
        scheduler: &Arc<ServiceScheduler>,
        call: &Call,
    ) -> Result<Response<Body>, Refusal> {
        let mut allow_overflow = call.hops < MAX_HOPS;
        let mut maybe_run = false;
        loop {
            let (vm, is_arbiter) = match scheduler.run(call, allow_overflow).await {
                Ok(response) => return Ok(response),
                Err(RunError::Refused(refusal)) if maybe_run => {
                    return Err(refusal.with_unknown_outcome());
                }
                Err(RunError::Refused(refusal)) => return Err(refusal),
                Err(RunError::ForwardTo(arbiter)) => (self.find_arbiter(call, arbiter)?, true),
                Err(RunError::Overflow { vm, maybe_run: attempted }) => {
                    maybe_run |= attempted;
                    (*vm, false)
                }
            };
            let result = match self.forwarder.send(call, &vm, self.fleet.now()).await {
                Ok(response) if response_outcome(response.headers()) != Some(Outcome::NotRun) => {
                    let length = http_body::Body::size_hint(response.body()).lower();
                    self.fleet.settle_link_budget(&call.service, length);
                    return Ok(response);
                }
                Ok(response) => Ok(response),
                Err(failure) if failure.delivery == Delivery::MaybeRun && !call.idempotent => {
                    return Err(failure.refusal);
                }
                Err(failure) => {
                    maybe_run |= failure.delivery == Delivery::MaybeRun;
                    Err(failure.refusal)
                }
            };
            if is_arbiter {
                return if maybe_run { as_unknown(result) } else { result };
            }
            // Either the other region did not run the request or it may run again, so this region
            // tries it without overflow.
            allow_overflow = false;
        }
    }

    /// Returns the arbiter of the crash guard, to which a suspect is forwarded.
    fn find_arbiter(&self, call: &Call, arbiter: Incarnation) -> Result<VmEntry, Refusal> {
        let crash_suspect =
            || AttemptFailure::crash_suspect().refusal.retry_after(Duration::from_secs(1));
        if call.hops >= MAX_HOPS {
            return Err(crash_suspect());
        }
        self.fleet.find_vm(arbiter).ok_or_else(crash_suspect)
    }

    /// Waits for a token of the organisation's rate limit.
    async fn wait_for_token(&self, call: &Call) -> Result<(), Refusal> {
        if call.organisation.is_empty() {
            return Ok(());
        }
        loop {
            let remaining = call.remaining(self.fleet.now())?;
            match self.fleet.admit(&call.organisation) {
                Admission::Admitted => return Ok(()),
                Admission::Wait(wait) if wait < remaining => {
                    tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
                }
                Admission::Wait(delay) | Admission::Refused(delay) => {
                    let message = format!(
                        "the organisation is above its rate; retry in {} ms",
                        delay.as_millis()
                    );
                    let refusal = Refusal::not_run(RefusalKind::RateExceeded, message);
                    return Err(refusal.retry_after(delay));
                }
            }
        }
    }
}

/// Replaces the outcome `not-run` with `unknown`, because an earlier attempt may have run.
fn as_unknown(result: Result<Response<Body>, Refusal>) -> Result<Response<Body>, Refusal> {
    match result {
        Ok(response) if response_outcome(response.headers()) == Some(Outcome::NotRun) => {
            let message = "the request may have run, and no further attempt was possible; retry";
            Err(Refusal::unknown(RefusalKind::PeerUnreachable, message))
        }
        Ok(response) => Ok(response),
        Err(refusal) => Err(refusal.with_unknown_outcome()),
    }
}
