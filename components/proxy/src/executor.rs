use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::Response;
use http_body_util::BodyExt;
use kernel::prelude::*;
use retry::{
    IdempotencyKey, IdempotencyTable, KeyDecision, MAX_STORED_BODY_BYTES, RequestDigest,
    RunOutcome, StoredResponse,
};
use tokio::sync::{Notify, oneshot};

use crate::answer::outcome;
use crate::body::{Body, full};
use crate::call::Call;
use crate::engine::Engine;
use crate::prefixed::Prefixed;

/// Runs requests at most once for each idempotency key.
pub struct Executor {
    table: Mutex<IdempotencyTable>,
    /// Wakes requests that wait for the first one with their key.
    finished: Notify,
}

/// What becomes of a request with an idempotency key.
pub enum Routed {
    /// This VM has the answer.
    Answered(Response<Body>),
    /// Only this incarnation may run it.
    Elsewhere(Incarnation),
}

impl Executor {
    /// An executor with this table.
    pub fn new(table: IdempotencyTable) -> Self {
        Executor { table: Mutex::new(table), finished: Notify::new() }
    }

    fn table(&self) -> MutexGuard<'_, IdempotencyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs the request, or gives what became of the first one with its key.
    pub async fn run(&self, engine: &Arc<Engine>, call: Call) -> Result<Routed, Refusal> {
        let key = read_key(&call)?;
        let digest = RequestDigest::of(call.method.as_str(), &call.target, &call.body);
        loop {
            // Registered before the table is asked, so that an end in between is not missed.
            let finished = self.finished.notified();
            let now = engine.fleet().now();
            let begin = self.table().begin(now, &call.organisation, &key, &digest);
            match begin {
                KeyDecision::Run => {
                    return start(engine, call, key, None).await.map(Routed::Answered);
                }
                KeyDecision::Claim { attempt } => {
                    return start(engine, call, key, Some(attempt)).await.map(Routed::Answered);
                }
                KeyDecision::Wait => {
                    let left = call.left(now).map_err(|_| still_running())?;
                    if tokio::time::timeout(left, finished).await.is_err() {
                        return Err(still_running());
                    }
                }
                KeyDecision::OtherIncarnation(incarnation) => {
                    return Ok(Routed::Elsewhere(incarnation));
                }
                KeyDecision::Replay(answer) => return Ok(Routed::Answered(replay(answer))),
                other => return Err(refuse(&other)),
            }
        }
    }
}

fn read_key(call: &Call) -> Result<IdempotencyKey, Refusal> {
    let text = call.idempotency.as_deref().unwrap_or_default();
    IdempotencyKey::try_from(text)
        .map_err(|error| Refusal::not_run(RefusalKind::IdempotencyKeyInvalid, error.to_string()))
}

/// Runs the request in a task of its own, after a claim if an attempt number is given: it must
/// end, and its answer be kept, also when the caller goes away meanwhile.
async fn start(
    engine: &Arc<Engine>,
    call: Call,
    key: IdempotencyKey,
    claim: Option<u64>,
) -> Result<Response<Body>, Refusal> {
    let (reply, answered) = oneshot::channel();
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let organisation = call.organisation.clone();
        if let Some(attempt) = claim {
            let text = key.to_string();
            let claimed = engine.fleet().claim_key(&organisation, &text, attempt).await;
            let executor = engine.executor();
            let now = engine.fleet().now();
            let begin = executor.table().record_claim(now, &organisation, &key, claimed);
            executor.finished.notify_waiters();
            if begin != KeyDecision::Run {
                let _ = reply.send(Err(refuse(&begin)));
                return;
            }
        }
        let result = engine.run_cleared(call).await;
        let (finish, result) = settle(result).await;
        let executor = engine.executor();
        executor.table().finish(engine.fleet().now(), &organisation, &key, finish);
        executor.finished.notify_waiters();
        // The caller may have gone; the answer is kept for its next try.
        let _ = reply.send(result);
    });
    answered.await.unwrap_or_else(|_| Err(lost()))
}

/// Reads the response as far as it is kept, and tells what to keep of it.
async fn settle(
    result: Result<Response<Body>, Refusal>,
) -> (RunOutcome, Result<Response<Body>, Refusal>) {
    let response = match result {
        Ok(response) => response,
        Err(refusal) => return (end_of(refusal.outcome), Err(refusal)),
    };
    if let Some(outcome) = outcome(response.headers()) {
        return (end_of(outcome), Ok(response));
    }
    let (head, mut body) = response.into_parts();
    let mut bytes = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            // Trailers are not kept.
            Ok(Err(_)) => {}
            Err(error) => {
                let refusal = Refusal::unknown(RefusalKind::BackendFailed, error.to_string());
                return (RunOutcome::Unknown, Err(refusal));
            }
        }
        if bytes.len() > MAX_STORED_BODY_BYTES {
            let body = Prefixed::new(bytes.freeze(), body).boxed_unsync();
            return (RunOutcome::Unknown, Ok(Response::from_parts(head, body)));
        }
    }
    let answer =
        StoredResponse { status: head.status, headers: head.headers, body: bytes.freeze() };
    (RunOutcome::Response(answer.clone()), Ok(replay(answer)))
}

fn end_of(outcome: Outcome) -> RunOutcome {
    match outcome {
        Outcome::NotRun => RunOutcome::NotRun,
        Outcome::Unknown => RunOutcome::Unknown,
    }
}

fn replay(answer: StoredResponse) -> Response<Body> {
    let mut response = Response::new(full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

fn refuse(begin: &KeyDecision) -> Refusal {
    match begin {
        KeyDecision::Conflict => Refusal::not_run(
            RefusalKind::IdempotencyConflict,
            "the idempotency key was used with another request; use a new key for a new request",
        ),
        KeyDecision::Full => {
            telemetry::event!(KEY_TABLE_FULL);
            Refusal::not_run(
                RefusalKind::Overloaded,
                "no room for a further idempotency key; retry in a minute",
            )
            .retry_after(Duration::from_secs(60))
        }
        KeyDecision::Unclaimed => unclaimed(),
        KeyDecision::Expired => Refusal::unknown(
            RefusalKind::AnswerLost,
            "the idempotency key is too old; if the request was never sent, send it with a prefix \
             of a new entry response",
        ),
        KeyDecision::IssuedInFuture => Refusal::not_run(
            RefusalKind::IdempotencyKeyInvalid,
            "the idempotency key was not issued by this VM; use the prefix of an entry response",
        ),
        _ => lost(),
    }
}

fn unclaimed() -> Refusal {
    Refusal::not_run(
        RefusalKind::StoreUnavailable,
        "the idempotency key cannot be claimed now; retry with the same key or, only if the request \
         was never sent before, send it with a prefix of an entry response",
    )
    .retry_after(Duration::from_secs(5))
}

fn still_running() -> Refusal {
    Refusal::unknown(
        RefusalKind::BackendTimeout,
        "an earlier request with this idempotency key still runs; send it again for its answer",
    )
}

fn lost() -> Refusal {
    Refusal::unknown(
        RefusalKind::AnswerLost,
        "an earlier request with this idempotency key may have run; check before sending it anew",
    )
}
