use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Response;
use kernel::VmEntry;
use kernel::prelude::*;
use retry::{GuardDecision, RetryRequest, SentState, admit_retry};

use crate::attempt::{self, AttemptFailure, Delivery};
use crate::body::Body;
use crate::call::Call;
use crate::scheduler::ServiceScheduler;
use crate::slot::Slot;

/// Minimum expected time of an attempt; a retry is not worthwhile if less time remains.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Name of the service in the retry budget; empty, because each scheduler has its own budget for
/// its service.
const BUDGET_SERVICE: &str = "";

/// Why a scheduler returned no response.
#[derive(Debug)]
pub enum RunError {
    /// The request is refused.
    Refused(Refusal),
    /// Only this home may run the request.
    ForwardTo(Incarnation),
    /// The home of another region has free slots while the backend servers here are busy.
    Overflow {
        /// Home in the other region.
        vm: Box<VmEntry>,
        /// Whether an attempt in this region may have run.
        maybe_run: bool,
    },
}

impl From<Refusal> for RunError {
    fn from(refusal: Refusal) -> Self {
        RunError::Refused(refusal)
    }
}

impl ServiceScheduler {
    /// Runs a request on one of the service's backend servers, with the retries and hedges that the
    /// route and the retry budget allow.
    ///
    /// A crash suspect is directed to the arbiter before it is queued here. With `allow_overflow`,
    /// a request that would wait for long is directed to another region.
    pub async fn run(
        self: &Arc<Self>,
        call: &Call,
        allow_overflow: bool,
    ) -> Result<Response<Body>, RunError> {
        self.pass_crash_guard(call).await?;
        self.run_with_retries(call, allow_overflow).await
    }

    /// Home in another region to forward the request to, if the backend servers here are busy.
    fn overflow_vm(&self, call: &Call) -> Option<VmEntry> {
        let (usable, _, waiting) = self.load();
        // With half as many queued requests as slots, the wait is longer than the delay to the
        // other region.
        let busy = usable == 0 || waiting > usable as usize / 2;
        busy.then(|| {
            self.fleet().find_overflow_vm(&call.service, call.route_weight, call.body.len())
        })
        .flatten()
    }

    /// Waits for a slot, or until a VM in another region is the better choice.
    async fn acquire_or_overflow(
        self: &Arc<Self>,
        call: &Call,
        tried: &[BackendId],
        allow_overflow: bool,
    ) -> Result<Result<Slot, VmEntry>, Refusal> {
        /// Interval of checks for free slots in other regions, which report them every 200 ms.
        const CHECK_INTERVAL: Duration = Duration::from_millis(50);
        if allow_overflow && let Some(vm) = self.overflow_vm(call) {
            return Ok(Err(vm));
        }
        let mut waiting = std::pin::pin!(self.acquire_slot(call, tried));
        loop {
            tokio::select! {
                biased;
                slot = &mut waiting => return slot.map(Ok),
                () = tokio::time::sleep(CHECK_INTERVAL), if allow_overflow => {
                    // Dropping `waiting` passes the place in the queue, or a slot that was just
                    // granted, to the next request.
                    if let Some(vm) = self.overflow_vm(call) {
                        return Ok(Err(vm));
                    }
                }
            }
        }
    }

    /// Waits until the crash guard allows the request to run here.
    async fn pass_crash_guard(&self, call: &Call) -> Result<(), RunError> {
        /// Interval of checks; the confirmations to wait for cross the link between the regions.
        const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
        let fingerprint = call.fingerprint();
        loop {
            match self.with_crash_guard(|now, guard| guard.check(now, &fingerprint)) {
                GuardDecision::Run => return Ok(()),
                GuardDecision::Forward(home) => return Err(RunError::ForwardTo(home)),
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
                    call.remaining(self.now())?;
                    tokio::time::sleep(RECHECK_INTERVAL).await;
                }
            }
        }
    }

    async fn run_with_retries(
        self: &Arc<Self>,
        call: &Call,
        allow_overflow: bool,
    ) -> Result<Response<Body>, RunError> {
        self.with_retry_state(|budget, _| {
            budget.record_first_attempt(BUDGET_SERVICE, &call.organisation)
        });
        let mut tried: Vec<BackendId> = Vec::new();
        // Once an attempt may have run, no later refusal may claim that the request has not run.
        let mut maybe_run = false;
        loop {
            let slot = match self.acquire_or_overflow(call, &tried, allow_overflow).await {
                Ok(Ok(slot)) => slot,
                Ok(Err(vm)) => return Err(RunError::Overflow { vm: Box::new(vm), maybe_run }),
                Err(refusal) if maybe_run => return Err(refusal.with_unknown_outcome().into()),
                Err(refusal) => return Err(refusal.into()),
            };
            let failure = match self.run_hedged(slot, call, &mut tried).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            maybe_run |= failure.delivery == Delivery::MaybeRun;
            if failure.refusal.kind == RefusalKind::CrashSuspect {
                let refusal = failure.refusal;
                return Err(if maybe_run {
                    refusal.with_unknown_outcome().into()
                } else {
                    refusal.into()
                });
            }
            if !self.may_retry(call, failure.delivery, tried.len()) {
                let refusal = failure.refusal;
                return Err(if maybe_run {
                    refusal.with_unknown_outcome().into()
                } else {
                    refusal.into()
                });
            }
        }
    }

    fn may_retry(&self, call: &Call, delivery: Delivery, tried: usize) -> bool {
        let request = RetryRequest {
            service: BUDGET_SERVICE,
            organisation: &call.organisation,
            idempotent: call.idempotent,
            sent: match delivery {
                Delivery::NotSent => SentState::NotSent,
                Delivery::NotRun => SentState::NotExecuted,
                Delivery::MaybeRun => SentState::MaybeSent,
            },
            attempts: u32::try_from(tried).unwrap_or(u32::MAX),
            deadline: call.deadline,
            expected: MIN_ATTEMPT_TIME,
        };
        let now = self.now();
        self.with_retry_state(|budget, _| admit_retry(now, &request, budget)).is_ok()
    }

    /// Runs one attempt, and a hedge in parallel if the first one is slow. The first response wins;
    /// the other attempt is dropped, which cancels it at the backend server.
    async fn run_hedged(
        self: &Arc<Self>,
        slot: Slot,
        call: &Call,
        tried: &mut Vec<BackendId>,
    ) -> Result<Response<Body>, AttemptFailure> {
        tried.push(slot.backend.clone());
        let start = self.now();
        let mut running = FuturesUnordered::new();
        running.push(attempt::run(slot, call, self.fleet()));
        let hedge_delay = self.with_retry_state(|_, hedge| {
            hedge.time_to_hedge(start, start, call.deadline, call.idempotent)
        });
        if let Some(delay) = hedge_delay {
            tokio::select! {
                biased;
                first = running.next() => return self.record_hedged(start, first),
                () = tokio::time::sleep(delay) => {}
            }
            if let Some(second) = self.hedge_slot(call, tried).await {
                tried.push(second.backend.clone());
                running.push(attempt::run(second, call, self.fleet()));
            }
        }
        let mut last: Option<AttemptFailure> = None;
        while let Some(result) = running.next().await {
            match result {
                Ok(response) => return self.record_hedged(start, Some(Ok(response))),
                // A failure of an attempt that may have run takes precedence.
                Err(failure) if failure.delivery == Delivery::MaybeRun => last = Some(failure),
                Err(failure) => last = last.or(Some(failure)),
            }
        }
        self.record_hedged(start, last.map(Err))
    }

    fn record_hedged(
        &self,
        start: Uptime,
        result: Option<Result<Response<Body>, AttemptFailure>>,
    ) -> Result<Response<Body>, AttemptFailure> {
        let response_time = self.now().saturating_sub(start);
        self.with_retry_state(|_, hedge| hedge.record(response_time));
        result.unwrap_or_else(|| {
            let message = "no attempt finished; the request may have run";
            Err(Refusal::unknown(RefusalKind::BackendFailed, message).into())
        })
    }

    /// Returns a slot for a hedge, if one is free and the retry budget allows it.
    async fn hedge_slot(self: &Arc<Self>, call: &Call, tried: &[BackendId]) -> Option<Slot> {
        /// Longest wait for a slot; a queued hedge would come too late and delay other requests.
        const MAX_SLOT_WAIT: Duration = Duration::from_millis(5);
        if !self.with_retry_state(|budget, _| budget.take_hedge(BUDGET_SERVICE, &call.organisation))
        {
            return None;
        }
        let slot = tokio::time::timeout(MAX_SLOT_WAIT, self.acquire_slot(call, tried)).await;
        if let Ok(Ok(slot)) = slot {
            return Some(slot);
        }
        self.with_retry_state(|budget, _| budget.refund(BUDGET_SERVICE, &call.organisation));
        None
    }
}
