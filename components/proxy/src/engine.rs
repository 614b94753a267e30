use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use kernel::prelude::*;
use kernel::{Admission, VmEntry};
use retry::{IdempotencyKey, IdempotencyLimits, IdempotencyTable};

use crate::answer::{outcome, refuse};
use crate::attempt::{Failure, Sent};
use crate::body::{Body, collect};
use crate::call::Call;
use crate::executor::{Executor, Routed};
use crate::fleet::Fleet;
use crate::forward::{Forwarder, MAX_HOPS};
use crate::headers::{REQUEST_ID_HEADER, RESOLVE_PATH};
use crate::record::RequestRecord;
use crate::resolve;
use crate::run::RunError;
use crate::scheduler::ServiceScheduler;

/// Settings of the request path.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Secret that VMs prove themselves with.
    pub secret: Box<[u8]>,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest wait for a request's body on a route without a longer deadline.
    pub body_timeout: Duration,
    /// Time for which callers may keep an entry response.
    pub resolve_ttl: Duration,
    /// Addresses in an entry response.
    pub max_addresses: usize,
}

/// The request path of one VM.
pub struct Engine {
    fleet: Arc<dyn Fleet>,
    options: EngineOptions,
    forwarder: Forwarder,
    executor: Executor,
    schedulers: RwLock<HashMap<ServiceId, Arc<ServiceScheduler>>>,
}

impl Engine {
    /// An engine without homes.
    pub fn new(fleet: Arc<dyn Fleet>, options: EngineOptions) -> Arc<Self> {
        let table =
            IdempotencyTable::new(fleet.this_vm().incarnation, IdempotencyLimits::default());
        Arc::new(Engine {
            forwarder: Forwarder::new(options.secret.clone()),
            executor: Executor::new(table),
            schedulers: RwLock::default(),
            fleet,
            options,
        })
    }

    pub(crate) fn fleet(&self) -> &Arc<dyn Fleet> {
        &self.fleet
    }

    pub(crate) fn executor(&self) -> &Executor {
        &self.executor
    }

    /// Homes that are open on this VM.
    pub fn schedulers(&self) -> Vec<(ServiceId, Arc<ServiceScheduler>)> {
        let homes = self.schedulers.read().unwrap_or_else(PoisonError::into_inner);
        homes.iter().map(|(id, home)| (id.clone(), Arc::clone(home))).collect()
    }

    /// Drops the connections to VMs that are gone.
    pub fn retain_vms(&self, keep: impl Fn(Incarnation) -> bool) {
        self.forwarder.retain(keep);
    }

    /// Takes over the backend servers of the configuration in force.
    pub fn apply_config(&self) {
        let lookup = self.fleet.lookup();
        self.schedulers
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|id, _| lookup.config.services.contains_key(id));
        for (id, home) in self.schedulers() {
            if let Some(service) = lookup.config.services.get(&id) {
                home.set_backends(&self.local_backends(&service.backends));
            }
        }
    }

    /// Backend servers that this VM schedules as a home: those of its region.
    fn local_backends(&self, all: &[BackendSpec]) -> Vec<BackendSpec> {
        let region = &self.fleet.this_vm().place.region;
        all.iter().filter(|b| b.place.region == *region).cloned().collect()
    }

    /// The home of a service on this VM; it is opened if it is not open.
    pub fn scheduler(&self, id: &str) -> Result<Arc<ServiceScheduler>, Refusal> {
        let open = self.schedulers.read().unwrap_or_else(PoisonError::into_inner).get(id).cloned();
        if let Some(home) = open {
            return Ok(home);
        }
        let lookup = self.fleet.lookup();
        let service = lookup.config.services.get(id).ok_or_else(|| {
            let message = format!("service {id:?} does not exist; check the configuration");
            Refusal::not_run(RefusalKind::RouteUnknown, message)
        })?;
        let options = self.fleet.scheduler_options(id)?;
        let home = ServiceScheduler::new(id.into(), Arc::clone(&self.fleet), options);
        home.set_backends(&self.local_backends(&service.backends));
        let mut homes = self.schedulers.write().unwrap_or_else(PoisonError::into_inner);
        Ok(Arc::clone(homes.entry(id.into()).or_insert(home)))
    }

    /// Answers one request of a caller or of another VM.
    pub async fn handle<B>(self: &Arc<Self>, request: Request<B>) -> Response<Body>
    where
        B: http_body::Body<Data = Bytes> + Send + 'static,
        B::Error: std::fmt::Display,
    {
        let id: Box<str> = format!("{:016x}", self.fleet.random()).into();
        let forwarded = Forwarder::is_forwarded(request.headers());
        let mut record = RequestRecord::new(id.clone(), forwarded);
        let start = self.fleet.now();
        let result = self.answer(request, &id, &mut record).await;
        let mut response = match result {
            Ok(response) => response,
            Err(refusal) => {
                record.refusal = Some(refusal.kind);
                refuse(&refusal)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&record.id) {
            response.headers_mut().entry(REQUEST_ID_HEADER).or_insert(value);
        }
        record.finish(&response, self.fleet.now().saturating_sub(start));
        self.fleet.record_request(&record);
        response
    }

    async fn answer<B>(
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
            let body = collect(body, limit, self.options.body_timeout).await?;
            let now = self.fleet.now();
            let call = self.forwarder.accept(&head, body, &self.fleet.lookup(), now)?;
            record.identify(&call);
            return self.route(call).await;
        }
        let now = self.fleet.now();
        let mut call = Call::check(&head, &self.fleet.lookup(), now, id.into())?;
        record.identify(&call);
        if call.key.is_some() {
            self.fleet.check_config_freshness()?;
        }
        call.body = collect(body, limit, call.left(now)?).await?;
        self.route(call).await
    }

    /// Runs the request where it may run.
    async fn route(self: &Arc<Self>, call: Call) -> Result<Response<Body>, Refusal> {
        if call.idempotent || call.cleared {
            return self.schedule(call).await;
        }
        let caller_made = matches!(
            IdempotencyKey::try_from(call.idempotency.as_deref().unwrap_or_default()),
            Ok(IdempotencyKey::CallerGenerated(_))
        );
        // The home claims a caller-made key, so that resends through other VMs meet its table.
        if caller_made
            && call.hops == 0
            && let Some(home) = self.other_home(&call)
        {
            match self.forwarder.send(&call, &home, self.fleet.now()).await {
                Ok(response) => return Ok(response),
                Err(failure) if failure.sent == Sent::Maybe => return Err(failure.refusal),
                // This VM may claim the key as well.
                Err(_) => {}
            }
        }
        match self.executor.run(self, call.clone()).await? {
            Routed::Answered(response) => Ok(response),
            Routed::Elsewhere(incarnation) => self.hand_on(call, incarnation).await,
        }
    }

    /// Hands a request to the only VM that may run it.
    async fn hand_on(&self, call: Call, to: Incarnation) -> Result<Response<Body>, Refusal> {
        let lost = || {
            Refusal::unknown(
                RefusalKind::AnswerLost,
                "the VM that the idempotency key names cannot be reached; if the request was \
                 never sent before, send it with a prefix of a new entry response",
            )
        };
        if call.hops >= MAX_HOPS {
            return Err(lost());
        }
        let vm = self.fleet.find_vm(to).ok_or_else(lost)?;
        self.forwarder.send(&call, &vm, self.fleet.now()).await.map_err(|failure| {
            // An earlier request with the key may have run, so that this one is unknown too.
            if failure.sent == Sent::Maybe { failure.refusal } else { lost() }
        })
    }

    /// Runs a request that this VM alone may run.
    pub(crate) async fn run_cleared(
        self: &Arc<Self>,
        mut call: Call,
    ) -> Result<Response<Body>, Refusal> {
        call.cleared = true;
        self.schedule(call).await
    }

    fn other_home(&self, call: &Call) -> Option<VmEntry> {
        let me = self.fleet.this_vm();
        let home = self.fleet.homes(&call.service, &me.place.region).into_iter().next()?;
        (home.incarnation != me.incarnation).then_some(home)
    }

    /// Runs the request at the home of its service, here or on another VM.
    async fn schedule(self: &Arc<Self>, call: Call) -> Result<Response<Body>, Refusal> {
        // A forwarded request is not forwarded again to a VM of the same region, so that two VMs
        // that disagree on the home do not pass it back and forth.
        let first = call.hops == 0 || (call.cleared && call.hops < MAX_HOPS);
        if first && let Some(home) = self.other_home(&call) {
            match self.forwarder.send(&call, &home, self.fleet.now()).await {
                Ok(response) => return Ok(response),
                Err(failure) if failure.sent == Sent::Maybe && !call.idempotent => {
                    return Err(failure.refusal);
                }
                // It may run again, but no later refusal may say that it was not run.
                Err(failure) if failure.sent == Sent::Maybe => {
                    return doubt(self.run_here(call).await);
                }
                // The home did not get it: this VM schedules it.
                Err(_) => {}
            }
        }
        self.run_here(call).await
    }

    async fn run_here(self: &Arc<Self>, mut call: Call) -> Result<Response<Body>, Refusal> {
        if !call.admitted {
            self.admit(&call).await?;
            call.admitted = true;
        }
        let home = self.scheduler(&call.service)?;
        self.run_at(&home, &call).await
    }

    /// Runs the request at a home of this VM, or sends it to the home that should have it.
    async fn run_at(
        &self,
        home: &Arc<ServiceScheduler>,
        call: &Call,
    ) -> Result<Response<Body>, Refusal> {
        let mut spill = call.hops < MAX_HOPS;
        let mut doubtful = false;
        loop {
            let (vm, last) = match home.run(call, spill).await {
                Ok(response) => return Ok(response),
                Err(RunError::Refused(refusal)) if doubtful => {
                    return Err(refusal.with_unknown_outcome());
                }
                Err(RunError::Refused(refusal)) => return Err(refusal),
                Err(RunError::GoTo(arbiter)) => (self.arbiter(call, arbiter)?, true),
                Err(RunError::Spill { vm, doubt }) => {
                    doubtful |= doubt;
                    (*vm, false)
                }
            };
            let result = match self.forwarder.send(call, &vm, self.fleet.now()).await {
                Ok(response) if outcome(response.headers()) != Some(Outcome::NotRun) => {
                    let length = http_body::Body::size_hint(response.body()).lower();
                    self.fleet.settle_link_budget(&call.service, length);
                    return Ok(response);
                }
                Ok(response) => Ok(response),
                Err(failure) if failure.sent == Sent::Maybe && !call.idempotent => {
                    return Err(failure.refusal);
                }
                Err(failure) => {
                    doubtful |= failure.sent == Sent::Maybe;
                    Err(failure.refusal)
                }
            };
            if last {
                return if doubtful { doubt(result) } else { result };
            }
            // The other region did not run it, or it may run again: this one still may.
            spill = false;
        }
    }

    /// The arbiter of the crash guard, to which a suspect is sent.
    fn arbiter(&self, call: &Call, arbiter: Incarnation) -> Result<VmEntry, Refusal> {
        let held_back = || Failure::held_back().refusal.retry_after(Duration::from_secs(1));
        if call.hops >= MAX_HOPS {
            return Err(held_back());
        }
        self.fleet.find_vm(arbiter).ok_or_else(held_back)
    }

    /// Waits for a token of the organisation's rate.
    async fn admit(&self, call: &Call) -> Result<(), Refusal> {
        if call.organisation.is_empty() {
            return Ok(());
        }
        loop {
            let left = call.left(self.fleet.now())?;
            match self.fleet.admit(&call.organisation) {
                Admission::Admitted => return Ok(()),
                Admission::Wait(wait) if wait < left => {
                    tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
                }
                Admission::Wait(retry) | Admission::Refused(retry) => {
                    let message = format!(
                        "the organisation is above its rate; retry in {} ms",
                        retry.as_millis()
                    );
                    let refusal = Refusal::not_run(RefusalKind::RateExceeded, message);
                    return Err(refusal.retry_after(retry));
                }
            }
        }
    }
}

/// Takes back `not-run` from the answer to a request of which an earlier attempt may have run.
fn doubt(result: Result<Response<Body>, Refusal>) -> Result<Response<Body>, Refusal> {
    match result {
        Ok(response) if outcome(response.headers()) == Some(Outcome::NotRun) => {
            let message = "the request may have run, and no further attempt was possible; retry";
            Err(Refusal::unknown(RefusalKind::PeerUnreachable, message))
        }
        Ok(response) => Ok(response),
        Err(refusal) => Err(refusal.with_unknown_outcome()),
    }
}
