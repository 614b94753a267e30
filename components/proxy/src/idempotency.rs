use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::Response;
use http_body_util::BodyExt;
use kernel::prelude::*;
use retry::{
    IdempotencyKey, IdempotencyTable, KeyDecision, MAX_STORED_BODY_BYTES, RequestDigest,
    RunOutcome, StoredResponse,
};
use tokio::sync::{Notify, oneshot};

use crate::body::{Body, full};
use crate::call::Call;
use crate::engine::Engine;
use crate::prefixed_body::PrefixedBody;
use crate::refusal_response::response_outcome;

/// Runs requests at most once per idempotency key.
pub struct IdempotentExecutor {
    table: Mutex<IdempotencyTable>,
    /// Wakes requests that wait for the first request with the same key.
    finished: Notify,
}

/// Result of a request with an idempotency key.
pub enum Execution {
    /// The request has a response.
    Completed(Response<Body>),
    /// Only this incarnation may run the request.
    OtherIncarnation(Incarnation),
}

impl IdempotentExecutor {
    /// Creates an executor that uses the table.
    pub fn new(table: IdempotencyTable) -> Self {
        IdempotentExecutor { table: Mutex::new(table), finished: Notify::new() }
    }

    fn table(&self) -> MutexGuard<'_, IdempotencyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs the request, or returns the result of the first request with the same key.
    pub async fn run(&self, engine: &Arc<Engine>, call: Call) -> Result<Execution, Refusal> {
        let key = parse_key(&call)?;
        let digest = RequestDigest::of(call.method.as_str(), &call.target, &call.body);
        loop {
            // Created before the table is read, so that a request that finishes in between is not
            // missed.
            let finished = self.finished.notified();
            let now = engine.fleet().now();
            let decision = self.table().begin(now, &call.organisation, &key, &digest);
            match decision {
                KeyDecision::Run => {
                    return spawn_run(engine, call, key, None).await.map(Execution::Completed);
                }
                KeyDecision::Claim { attempt } => {
                    return spawn_run(engine, call, key, Some(attempt))
                        .await
                        .map(Execution::Completed);
                }
                KeyDecision::Wait => {
                    let remaining = call.remaining(now).map_err(|_| still_running())?;
                    if tokio::time::timeout(remaining, finished).await.is_err() {
                        return Err(still_running());
                    }
                }
                KeyDecision::OtherIncarnation(incarnation) => {
                    return Ok(Execution::OtherIncarnation(incarnation));
                }
                KeyDecision::Replay(stored) => return Ok(Execution::Completed(replay(stored))),
                other => return Err(key_refusal(&other)),
            }
        }
    }
}

fn parse_key(call: &Call) -> Result<IdempotencyKey, Refusal> {
    let text = call.idempotency_key.as_deref().unwrap_or_default();
    IdempotencyKey::try_from(text)
        .map_err(|error| Refusal::not_run(RefusalKind::IdempotencyKeyInvalid, error.to_string()))
}

/// Runs the request in a separate task, after a claim if an attempt number is given. The request
/// must finish and its response be stored even if the caller disconnects.
async fn spawn_run(
    engine: &Arc<Engine>,
    call: Call,
    key: IdempotencyKey,
    claim: Option<u64>,
) -> Result<Response<Body>, Refusal> {
    let (reply, response) = oneshot::channel();
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let organisation = call.organisation.clone();
        if let Some(attempt) = claim {
            let text = key.to_string();
            let claimed = engine.fleet().claim_key(&organisation, &text, attempt).await;
            let executor = engine.executor();
            let now = engine.fleet().now();
            let decision = executor.table().record_claim(now, &organisation, &key, claimed);
            executor.finished.notify_waiters();
            if decision != KeyDecision::Run {
                let _ = reply.send(Err(key_refusal(&decision)));
                return;
            }
        }
        let deadline = call.deadline;
        let result = engine.run_checked(call).await;
        let remaining = deadline.saturating_sub(engine.fleet().now());
        // A body that trickles in would hold the slot for ever, since the caller is not watched here.
        let (outcome, result) = tokio::time::timeout(remaining, buffer_response(result))
            .await
            .unwrap_or_else(|_| (RunOutcome::Unknown, Err(body_too_slow())));
        let executor = engine.executor();
        executor.table().finish(engine.fleet().now(), &organisation, &key, outcome);
        executor.finished.notify_waiters();
        // The caller may have disconnected; the response is stored for its next attempt.
        let _ = reply.send(result);
    });
    response.await.unwrap_or_else(|_| Err(result_lost()))
}

/// Reads the response up to the size that is stored, and returns what to store of it.
async fn buffer_response(
    result: Result<Response<Body>, Refusal>,
) -> (RunOutcome, Result<Response<Body>, Refusal>) {
    let response = match result {
        Ok(response) => response,
        Err(refusal) => return (run_outcome(refusal.outcome), Err(refusal)),
    };
    if let Some(outcome) = response_outcome(response.headers()) {
        return (run_outcome(outcome), Ok(response));
    }
    let (head, mut body) = response.into_parts();
    let mut bytes = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            // Trailers are not stored.
            Ok(Err(_)) => {}
            Err(error) => {
                let refusal = Refusal::unknown(RefusalKind::BackendFailed, error.to_string());
                return (RunOutcome::Unknown, Err(refusal));
            }
        }
        if bytes.len() > MAX_STORED_BODY_BYTES {
            let body = PrefixedBody::new(bytes.freeze(), body).boxed_unsync();
            return (RunOutcome::Unknown, Ok(Response::from_parts(head, body)));
        }
    }
    let stored =
        StoredResponse { status: head.status, headers: head.headers, body: bytes.freeze() };
    (RunOutcome::Response(stored.clone()), Ok(replay(stored)))
}

fn run_outcome(outcome: Outcome) -> RunOutcome {
    match outcome {
        Outcome::NotRun => RunOutcome::NotRun,
        Outcome::Unknown => RunOutcome::Unknown,
    }
}

fn replay(stored: StoredResponse) -> Response<Body> {
    let mut response = Response::new(full(stored.body));
    *response.status_mut() = stored.status;
    *response.headers_mut() = stored.headers;
    response
}

fn key_refusal(decision: &KeyDecision) -> Refusal {
    match decision {
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
        KeyDecision::Unclaimed => claim_failed(),
        KeyDecision::Expired => Refusal::unknown(
            RefusalKind::AnswerLost,
            "the idempotency key is too old; if the request was never sent, send it with a prefix \
             of a new entry response",
        ),
        KeyDecision::IssuedInFuture => Refusal::not_run(
            RefusalKind::IdempotencyKeyInvalid,
            "the idempotency key was not issued by this VM; use the prefix of an entry response",
        ),
        _ => result_lost(),
    }
}

fn claim_failed() -> Refusal {
    Refusal::not_run(
        RefusalKind::StoreUnavailable,
        "the idempotency key cannot be claimed now; retry with the same key or, only if the \
         request was never sent before, send it with a prefix of an entry response",
    )
    .retry_after(Duration::from_secs(5))
}

fn body_too_slow() -> Refusal {
    Refusal::unknown(
        RefusalKind::BackendTimeout,
        "the response did not arrive whole in time; the request has run",
    )
}

fn still_running() -> Refusal {
    Refusal::unknown(
        RefusalKind::BackendTimeout,
        "an earlier request with this idempotency key still runs; send it again for its answer",
    )
}

fn result_lost() -> Refusal {
    Refusal::unknown(
        RefusalKind::AnswerLost,
        "an earlier request with this idempotency key may have run; check before sending it anew",
    )
}
