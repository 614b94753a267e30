//! Retry budget, hedging, idempotency keys and the crash guard.
