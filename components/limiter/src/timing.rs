use std::time::Duration;

/// Units that every organisation's rate is divided into.
pub const RATE_UNITS: u32 = 16;

/// Time for which a grant may be spent, on the requester's clock, from the moment the requester
/// sent the ask.
pub const GRANT_VALIDITY: Duration = Duration::from_secs(2);

/// Time for which a holder counts a grant as outstanding, from the arrival of the ask.
///
/// 1% longer than the validity of the grant, since the two clocks may drift apart by that much.
pub const GRANT_RESERVATION: Duration = Duration::from_millis(2020);

/// Fraction of the rate at which a bucket refills. It is below 1 because a clock that is being
/// slewed runs up to 0.05% fast.
pub(crate) const REFILL_RATIO: f64 = 0.999;

/// Time before their expiry at which unspent tokens are returned, so that the report arrives in
/// time.
pub(crate) const RETURN_MARGIN: Duration = Duration::from_millis(500);

/// Time of expected demand for which a VM tries to hold tokens in advance.
pub(crate) const PREFETCH_TIME: Duration = Duration::from_millis(500);

/// Time after which an unanswered ask counts as lost. A round trip between regions takes
/// about 60 ms.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which a request that waits for a token tries again.
pub(crate) const TOKEN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time for which a holder without units is not asked again.
pub(crate) const NO_UNITS_DELAY: Duration = Duration::from_secs(5);

/// Time after which a VM that should no longer hold units of an organisation releases them.
/// Restarts of VMs are shorter.
pub(crate) const SURPLUS_RELEASE_DELAY: Duration = Duration::from_secs(30);
