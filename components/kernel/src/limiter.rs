use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, OrganisationId, Uptime};

/// Rate and burst of an organisation over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Requests per second. Not negative.
    pub per_second: f64,
    /// Requests at once. At least 1.
    pub burst: f64,
}

/// Number of a grant, unique for its requester.
pub type GrantId = u64;

/// What a limiter says to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Runs now; its token is spent.
    Admitted,
    /// No token here yet; asking again after this time may succeed within the rate.
    Wait(Duration),
    /// Above the rate; a token can be expected after this time.
    Refused(Duration),
}

/// Message between the limiters of two VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimiterMessage {
    /// Asks a rate holder for tokens and reports what became of earlier grants.
    Ask {
        /// Organisation.
        organisation: OrganisationId,
        /// Number of the grant asked for.
        grant: GrantId,
        /// Tokens wanted; may be a fraction, since a holder of few units may never own a whole one.
        tokens: f64,
        /// Earlier grants that are spent or given back, with the tokens given back.
        settled: Vec<(GrantId, f64)>,
    },
    /// Answers an `Ask`; the tokens were debited before this message was sent.
    Grant {
        /// Organisation.
        organisation: OrganisationId,
        /// Number of the grant.
        grant: GrantId,
        /// Tokens granted; may be zero or a fraction.
        tokens: f64,
        /// Time until the holder expects to have tokens again, if it granted fewer than asked.
        retry: Duration,
    },
}

/// What a limiter wants done.
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
        /// Units to hold in all, those held already included.
        units: u32,
    },
    /// Lower the units held in the share ledger. The limiter has already stopped using the rest
    /// and takes no more than `units` until `set_units` has confirmed this or a lower number.
    Release {
        /// Organisation.
        organisation: OrganisationId,
        /// Units to keep.
        units: u32,
    },
}

/// Admits the requests of all organisations on one VM.
pub trait Limiter: Send {
    /// Sets or changes the rate of an organisation; none removes it.
    fn set_rate(&mut self, now: Uptime, organisation: &str, rate: Option<Rate>);

    /// Sets the live VMs, this one included.
    fn set_vms(&mut self, now: Uptime, vms: &[Incarnation]);

    /// Sets the units that this VM holds of an organisation's rate, out of `total`.
    ///
    /// The units may be used until `until`; `fresh` says that no VM can have held these units
    /// before, so that their bucket may start full.
    fn set_units(
        &mut self,
        now: Uptime,
        organisation: &str,
        units: u32,
        total: u32,
        until: Uptime,
        fresh: bool,
    );

    /// Asks to admit one request.
    fn admit(&mut self, now: Uptime, organisation: &str) -> Admission;

    /// Takes a message from another VM.
    fn receive(&mut self, now: Uptime, from: Incarnation, message: LimiterMessage);

    /// Returns what is to be done. Called every 20 ms and after `admit` and `receive`.
    fn poll(&mut self, now: Uptime) -> Vec<LimiterAction>;
}
