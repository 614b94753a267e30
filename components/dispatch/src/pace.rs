use std::time::Duration;

use kernel::Uptime;

use crate::RequestLimit;

/// Requests per second that keep a backend server heard of whose limit is lower: one that gets
/// nothing cannot say that its limit has ended.
const MIN_REQUESTS_PER_S: f64 = 0.2;
/// Time whose requests may be saved up, beyond one request.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Part of a token by which the time at which it is due may be rounded.
const ROUNDING: f64 = 1e-6;
/// Fraction of an equal share that a VM spends of the limits of a failure domain without a leader.
/// The owner gives up the same for each failure domain whose leader it does not hear, so that the sum
/// stays below the limit if two do not hear each other, and below one and a half times the limit if
/// only one of two does not.
const ORPHAN_FRACTION: f64 = 0.5;
/// Silence of the leader of another failure domain from which its limits are spent without leave.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);

/// How this VM may spend the request limit of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceRight {
    /// It leads the failure domain of the backend server: it spends this fraction of the limit, and
    /// gives others leave out of it.
    Owner(f64),
    /// Nobody is known to lead that failure domain: it spends this fraction.
    Orphan(f64),
    /// It sends a request only with a permit of the owner.
    Permit,
}

/// What decides on the right to spend the limits of a failure domain's backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DomainView {
    /// Whether it is the failure domain of this VM.
    pub is_own: bool,
    /// Time for which this VM has led its failure domain; `None` for a standby.
    pub led_for: Option<Duration>,
    /// Fraction of its failure domain's shares that this VM may spend as its leader. In [0, 1].
    pub fraction: f64,
    /// Silence of the leader of the failure domain, if it is another one; `None` if none was heard.
    pub silence: Option<Duration>,
    /// Number of failure domains. At least 1.
    pub domains: usize,
    /// Number of other failure domains whose leader is not heard.
    pub silent_domains: usize,
}

impl PaceRight {
    /// Decides how a VM may spend the limits of a failure domain's backend servers.
    ///
    /// Handles a limit that holds for all VMs together while many of them serve callers: one owner
    /// sends, and the others by its leave. Shares of a limit of one request a second would be less
    /// than a request for each VM, and each would begin with a request of its own.
    pub fn decide(view: &DomainView) -> PaceRight {
        let domains = view.domains.max(1) as f64;
        match view.led_for {
            Some(_) if view.is_own => {
                let given_up = ORPHAN_FRACTION * view.silent_domains as f64 / domains;
                PaceRight::Owner(view.fraction * (1.0 - given_up).max(0.0))
            }
            Some(led_for) if view.silence.unwrap_or(led_for).min(led_for) >= ORPHAN_TIMEOUT => {
                PaceRight::Orphan(ORPHAN_FRACTION / domains)
            }
            _ => PaceRight::Permit,
        }
    }

    /// Name of the kind of right, for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PaceRight::Owner(_) => "owner",
            PaceRight::Orphan(_) => "orphan",
            PaceRight::Permit => "permit",
        }
    }

    fn fraction(self) -> f64 {
        match self {
            PaceRight::Owner(fraction) | PaceRight::Orphan(fraction) => fraction,
            PaceRight::Permit => 0.0,
        }
    }
}

/// Token bucket for the requests to a backend server with a request limit.
///
/// It begins empty, also when this VM becomes the owner: another VM may just have sent what the limit
/// allows.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    limit: RequestLimit,
    right: PaceRight,
    /// Requests that may be sent at `refilled_at`. At most the burst.
    tokens: f64,
    refilled_at: Uptime,
}

impl Pace {
    /// Pace of a VM that has just learned of the limit.
    pub fn new(now: Uptime, limit: RequestLimit) -> Pace {
        Pace { limit, right: PaceRight::Permit, tokens: 0.0, refilled_at: now }
    }

    /// The limit.
    pub fn limit(&self) -> RequestLimit {
        self.limit
    }

    /// How this VM may spend the limit.
    pub fn right(&self) -> PaceRight {
        self.right
    }

    /// Requests per second that this VM may send, and give others leave to send.
    pub fn rate(&self) -> f64 {
        self.limit.per_second().max(MIN_REQUESTS_PER_S) * self.right.fraction()
    }

    fn burst(&self) -> f64 {
        (self.rate() * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn tokens_at(&self, now: Uptime) -> f64 {
        let earned = now.saturating_sub(self.refilled_at).as_secs_f64() * self.rate();
        (self.tokens + earned).min(self.burst())
    }

    fn refill(&mut self, now: Uptime) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    /// Sets the limit from now on.
    pub fn set_limit(&mut self, now: Uptime, limit: RequestLimit) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Sets the right from now on. `phase`, in [0, 1), spreads the first requests of VMs that begin
    /// to spend without leave at the same time.
    pub fn set_right(&mut self, now: Uptime, right: PaceRight, phase: f64) {
        if right == self.right {
            return;
        }
        self.refill(now);
        let before = std::mem::replace(&mut self.right, right);
        self.tokens = match (before, right) {
            (PaceRight::Owner(_), PaceRight::Owner(_))
            | (PaceRight::Orphan(_), PaceRight::Orphan(_)) => self.tokens.min(self.burst()),
            (_, PaceRight::Orphan(_)) => -phase,
            _ => 0.0,
        };
    }

    /// Whether a request may be sent now without a permit.
    pub fn has_token(&self, now: Uptime) -> bool {
        self.rate() > 0.0 && self.tokens_at(now) >= 1.0 - ROUNDING
    }

    /// Spends a token.
    pub fn take(&mut self, now: Uptime) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns the token of a request that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst());
    }

    /// When the next token is due; `None` without a right to send.
    pub fn next_token_at(&self, now: Uptime) -> Option<Uptime> {
        if self.rate() <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        Some(now + Duration::from_secs_f64(missing / self.rate()))
    }
}
