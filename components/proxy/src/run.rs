use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Response;
use kernel::VmEntry;
use kernel::prelude::*;
use retry::{GuardDecision, RetryRequest, SentState, admit_retry};

use crate::attempt::{self, Failure, Sent};
use crate::body::Body;
use crate::call::Call;
use crate::scheduler::ServiceScheduler;
use crate::slot::Slot;

/// Time that a further attempt is expected to take at least; a shorter rest is not worth a retry.
const EXPECTED: Duration = Duration::from_millis(5);

/// Name of the service in the retry budget: a home has a budget of its own, for one service.
const SERVICE: &str = "";

/// Why a home did not answer a request.
#[derive(Debug)]
pub enum RunError {
    /// It is refused.
    Refused(Refusal),
    /// Only this home may run it.
    GoTo(Incarnation),
    /// The home of another region has free slots and this one has none.
    Spill {
        /// The home.
        vm: Box<VmEntry>,
        /// Whether an attempt here may have run.
        doubt: bool,
    },
}

impl From<Refusal> for RunError {
    fn from(refusal: Refusal) -> Self {
        RunError::Refused(refusal)
    }
}

impl ServiceScheduler {
    /// Runs a request on one of the service's backend servers, with retries and hedges as far as
    /// the route and the budget allow.
    ///
    /// A suspect of the crash guard is told to go to the arbiter before it is queued here.
    /// With `spill` a request that would wait for long is told to go to another region.
    pub async fn run(
        self: &Arc<Self>,
        call: &Call,
        spill: bool,
    ) -> Result<Response<Body>, RunError> {
        self.pass_guard(call).await?;
        self.run_guarded(call, spill).await
    }

    /// VM in another region to send the request to, if the backend servers here are busy.
    fn spill_to(&self, call: &Call) -> Option<VmEntry> {
        let (usable, _, waiting) = self.load();
        // With half a round of slots waiting, the wait is longer than the way to the other region.
        let busy = usable == 0 || waiting > usable as usize / 2;
        busy.then(|| self.fleet().find_overflow_vm(&call.service, call.weight, call.body.len()))
            .flatten()
    }

    /// Waits for a slot, or until another region is the better place.
    async fn acquire_or_spill(
        self: &Arc<Self>,
        call: &Call,
        tried: &[BackendId],
        spill: bool,
    ) -> Result<Result<Slot, VmEntry>, Refusal> {
        /// Pause between two looks at the other regions; they report every 200 ms.
        const LOOK: Duration = Duration::from_millis(50);
        if spill && let Some(vm) = self.spill_to(call) {
            return Ok(Err(vm));
        }
        let mut waiting = std::pin::pin!(self.acquire(call, tried));
        loop {
            tokio::select! {
                biased;
                slot = &mut waiting => return slot.map(Ok),
                () = tokio::time::sleep(LOOK), if spill => {
                    // Leaving the queue gives the place, or a slot just granted, to the next.
                    if let Some(vm) = self.spill_to(call) {
                        return Ok(Err(vm));
                    }
                }
            }
        }
    }

    /// Waits until the crash guard lets the request run here.
    async fn pass_guard(&self, call: &Call) -> Result<(), RunError> {
        /// Pause before the guard is asked again; confirmations come over the link between regions.
        const PAUSE: Duration = Duration::from_millis(20);
        let fingerprint = call.fingerprint();
        loop {
            match self.with_guard(|now, guard| guard.check(now, &fingerprint)) {
                GuardDecision::Run => return Ok(()),
                GuardDecision::Forward(home) => return Err(RunError::GoTo(home)),
                GuardDecision::Refuse(crash) => {
                    telemetry::event!(CRASH_REFUSED, request = call.id, route = call.route);
                    let message = format!(
                        "the request has crashed {} backend servers; do not send it again",
                        crash.crashes
                    );
                    let refusal = Refusal::not_run(RefusalKind::CrashSuspect, message);
                    return Err(refusal.retry_after(crash.retry).into());
                }
                GuardDecision::Wait => {
                    call.left(self.now())?;
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    async fn run_guarded(
        self: &Arc<Self>,
        call: &Call,
        spill: bool,
    ) -> Result<Response<Body>, RunError> {
        self.with_retries(|budget, _| budget.record_first_attempt(SERVICE, &call.organisation));
        let mut tried: Vec<BackendId> = Vec::new();
        // Once an attempt may have run, no later refusal may say that the request was not run.
        let mut doubt = false;
        loop {
            let slot = match self.acquire_or_spill(call, &tried, spill).await {
                Ok(Ok(slot)) => slot,
                Ok(Err(vm)) => return Err(RunError::Spill { vm: Box::new(vm), doubt }),
                Err(refusal) if doubt => return Err(refusal.with_unknown_outcome().into()),
                Err(refusal) => return Err(refusal.into()),
            };
            let failure = match self.run_hedged(slot, call, &mut tried).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            doubt |= failure.sent == Sent::Maybe;
            if failure.refusal.kind == RefusalKind::CrashSuspect {
                let refusal = failure.refusal;
                return Err(if doubt {
                    refusal.with_unknown_outcome().into()
                } else {
                    refusal.into()
                });
            }
            if !self.may_retry(call, failure.sent, tried.len()) {
                let refusal = failure.refusal;
                return Err(if doubt {
                    refusal.with_unknown_outcome().into()
                } else {
                    refusal.into()
                });
            }
        }
    }

    fn may_retry(&self, call: &Call, sent: Sent, tried: usize) -> bool {
        let request = RetryRequest {
            service: SERVICE,
            organisation: &call.organisation,
            idempotent: call.idempotent,
            sent: match sent {
                Sent::No => SentState::NotSent,
                Sent::RefusedUnrun => SentState::NotExecuted,
                Sent::Maybe => SentState::MaybeSent,
            },
            attempts: u32::try_from(tried).unwrap_or(u32::MAX),
            deadline: call.deadline,
            expected: EXPECTED,
        };
        let now = self.now();
        self.with_retries(|budget, _| admit_retry(now, &request, budget)).is_ok()
    }

    /// Runs one attempt, and a second one beside it if the first is late. The first response wins;
    /// the other attempt is dropped, which cancels it at the backend server.
    async fn run_hedged(
        self: &Arc<Self>,
        slot: Slot,
        call: &Call,
        tried: &mut Vec<BackendId>,
    ) -> Result<Response<Body>, Failure> {
        tried.push(slot.backend.clone());
        let start = self.now();
        let mut running = FuturesUnordered::new();
        running.push(attempt::run(slot, call, self.fleet()));
        let due = self.with_retries(|_, hedge| {
            hedge.time_to_hedge(start, start, call.deadline, call.idempotent)
        });
        if let Some(due) = due {
            tokio::select! {
                biased;
                first = running.next() => return self.ended(start, first),
                () = tokio::time::sleep(due) => {}
            }
            if let Some(second) = self.hedge_slot(call, tried).await {
                tried.push(second.backend.clone());
                running.push(attempt::run(second, call, self.fleet()));
            }
        }
        let mut last: Option<Failure> = None;
        while let Some(result) = running.next().await {
            match result {
                Ok(response) => return self.ended(start, Some(Ok(response))),
                // The failure that may have run is the one to report.
                Err(failure) if failure.sent == Sent::Maybe => last = Some(failure),
                Err(failure) => last = last.or(Some(failure)),
            }
        }
        self.ended(start, last.map(Err))
    }

    fn ended(
        &self,
        start: Uptime,
        result: Option<Result<Response<Body>, Failure>>,
    ) -> Result<Response<Body>, Failure> {
        let took = self.now().saturating_sub(start);
        self.with_retries(|_, hedge| hedge.record(took));
        result.unwrap_or_else(|| {
            let message = "no attempt ended; the request may have run";
            Err(Refusal::unknown(RefusalKind::BackendFailed, message).into())
        })
    }

    /// A slot for a hedge, if one is free now and the budget allows it.
    async fn hedge_slot(self: &Arc<Self>, call: &Call, tried: &[BackendId]) -> Option<Slot> {
        /// Longest wait for a slot; a hedge that queues comes too late and takes another's place.
        const WAIT: Duration = Duration::from_millis(5);
        if !self.with_retries(|budget, _| budget.take_hedge(SERVICE, &call.organisation)) {
            return None;
        }
        let slot = tokio::time::timeout(WAIT, self.acquire(call, tried)).await;
        if let Ok(Ok(slot)) = slot {
            return Some(slot);
        }
        self.with_retries(|budget, _| budget.refund(SERVICE, &call.organisation));
        None
    }
}
