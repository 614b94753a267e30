use std::time::Duration;

/// Units of every organisation's rate.
pub const RATE_UNITS: u32 = 16;

/// Time that a grant may be spent in, on the requester's clock from the moment it asked.
pub const GRANT_VALID: Duration = Duration::from_secs(2);

/// Time that a holder counts a grant as outstanding, from the arrival of the request for it.
///
/// 1% longer than the grant is valid, since the two clocks may drift apart by as much.
pub const GRANT_HELD: Duration = Duration::from_millis(2020);

/// Part of the rate that a bucket refills with. A clock that is slewed runs at most 0.05% fast.
pub(crate) const REFILL: f64 = 0.999;

/// Tokens are given back this long before they become invalid, so that the report is in time.
pub(crate) const GIVE_BACK: Duration = Duration::from_millis(500);

/// Time of demand that a VM aims to have tokens for.
pub(crate) const PREFETCH: Duration = Duration::from_millis(500);

/// An ask without an answer for so long is taken for lost: a round trip between regions takes
/// about 60 ms.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which a request that waits for a token asks again.
pub(crate) const WAIT: Duration = Duration::from_millis(10);

/// A holder without units is not asked again for this long.
pub(crate) const NO_UNITS: Duration = Duration::from_secs(5);

/// A VM that does not belong to the holders of an organisation any more gives its units up after
/// this long. Restarts of VMs take less.
pub(crate) const SURPLUS: Duration = Duration::from_secs(30);
