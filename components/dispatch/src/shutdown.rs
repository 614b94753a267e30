use std::time::Duration;

/// Part of the grace period after which a stopping process takes no new request, however short.
const TAKES: f64 = 0.6;
/// Part of the grace period in which running requests must have ended.
const ENDS: f64 = 0.93;
/// Times its usual time that a request may take. One request in a hundred takes five times that.
const LONGEST: f64 = 4.0;

/// Whether a stopping process may start a request that usually takes `usual`.
///
/// Answers callers that keep an old address: what could be cut by the end of the grace period is
/// refused unrun, and the caller goes to another VM at once.
pub fn may_start(stopping_for: Duration, grace: Duration, usual: Duration) -> bool {
    let left = grace.mul_f64(ENDS).saturating_sub(stopping_for);
    stopping_for <= grace.mul_f64(TAKES) && usual.mul_f64(LONGEST) <= left
}
