use std::time::Duration;

/// Fraction of the grace period (from SIGTERM to SIGKILL) after which a stopping process starts no
/// request at all.
const ACCEPT_FRACTION: f64 = 0.6;
/// Fraction of the grace period within which running requests must finish.
const FINISH_FRACTION: f64 = 0.93;
/// Multiple of its expected time that must be left for a request to start. One request in a hundred
/// takes five times the expected time.
const EXPECTED_TIME_FACTOR: f64 = 4.0;

/// Whether a stopping process may start a request that is expected to take `expected`.
///
/// Handles callers that still use the address of a stopping VM: a request that the end of the grace
/// period could cut off is refused without running, so that the caller retries on another VM at
/// once.
pub fn may_start(stopping_for: Duration, grace: Duration, expected: Duration) -> bool {
    let left = grace.mul_f64(FINISH_FRACTION).saturating_sub(stopping_for);
    stopping_for <= grace.mul_f64(ACCEPT_FRACTION) && expected.mul_f64(EXPECTED_TIME_FACTOR) <= left
}
