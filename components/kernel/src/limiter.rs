use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, OrganisationId, Uptime};

/// Rate limit of an organisation, enforced over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Requests per second. Not negative.
    pub per_second: f64,
    /// Burst size in requests. At least 1.
    pub burst: f64,
}

/// Id of a grant, unique per requesting VM.
pub type GrantId = u64;

/// Decision of a limiter about one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Admitted; one token has been consumed.
    Admitted,
    /// No token is available on this VM. A retry after this time may be admitted.
    Wait(Duration),
    /// The rate limit is exceeded. The next token is expected after this time.
    Refused(Duration),
}

/// Message between the limiters of two VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimiterMessage {
    /// Requests tokens from a VM that holds part of the rate, and settles earlier grants.
    Ask {
        /// Organisation.
        organisation: OrganisationId,
        /// Id of the requested grant.
        grant: GrantId,
        /// Requested tokens. May be fractional, since a VM that holds few units may never have a
        /// whole token.
        tokens: f64,
        /// Earlier grants that are used up or returned, each with the number of tokens returned.
        settled: Vec<(GrantId, f64)>,
    },
    /// Response to an `Ask`. The tokens are debited before this message is sent.
    Grant {
        /// Organisation.
        organisation: OrganisationId,
        /// Id of the grant.
        grant: GrantId,
        /// Granted tokens. May be zero or fractional.
        tokens: f64,
        /// Time until the sender expects to have tokens again, if it granted fewer than requested.
        retry: Duration,
    },
}

/// Action requested by a limiter.
#[derive(Clone, Debug, PartialEq)]
pub enum LimiterAction {
    /// Send a message to a VM.
    Send {
        /// The VM.
        to: Incarnation,
        /// The message.
        message: LimiterMessage,
    },
    /// Claim units of the organisation's rate in the share ledger.
    Claim {
        /// Organisation.
        organisation: OrganisationId,
        /// Total number of units to hold, including those already held.
        units: u32,
    },
    /// Reduce the units held in the share ledger. The limiter has already stopped using the
    /// others, and uses at most `units` until `set_units` confirms this number or a lower one.
    Release {
        /// Organisation.
        organisation: OrganisationId,
        /// Units to keep.
        units: u32,
    },
}

/// Admits the requests of all organisations on one VM.
pub trait Limiter: Send {
    /// Sets the rate limit of an organisation; `None` removes it.
    fn set_rate(&mut self, now: Uptime, organisation: &str, rate: Option<Rate>);

    /// Sets the live VMs, including this one.
    fn set_vms(&mut self, now: Uptime, vms: &[Incarnation]);

    /// Sets how many of the `total` units of an organisation's rate this VM holds.
    ///
    /// The units may be used until `expires_at`. `first_use` means that no VM can have held these
    /// units before, so their token bucket may start full.
    fn set_units(
        &mut self,
        now: Uptime,
        organisation: &str,
        units: u32,
        total: u32,
        expires_at: Uptime,
        first_use: bool,
    );

    /// Decides whether to admit one request.
    fn admit(&mut self, now: Uptime, organisation: &str) -> Admission;

    /// Handles a message from another VM.
    fn receive(&mut self, now: Uptime, from: Incarnation, message: LimiterMessage);

    /// Returns the actions to take. Called every 20 ms and after `admit` and `receive`.
    fn poll(&mut self, now: Uptime) -> Vec<LimiterAction>;
}
