use std::time::Duration;

use kernel::{Incarnation, RowVersion, Transaction, Uptime};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Default lease of a session: the fleet has to keep its rights through hours without the store.
pub const DEFAULT_LEASE: Duration = Duration::from_secs(4 * 3600);

/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Key of the row of a session.
pub fn session_key(incarnation: Incarnation) -> Box<str> {
    format!("session/{incarnation:016x}").into()
}

/// Value of a session row.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct SessionRow {
    lease_ms: u64,
}

/// Lease that a session row speaks of; the default for a row that cannot be read.
pub(crate) fn parse_lease(value: &str) -> Duration {
    serde_json::from_str(value)
        .map_or(DEFAULT_LEASE, |row: SessionRow| Duration::from_millis(row.lease_ms))
}

/// Why a session gives no right to hold units.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum SessionError {
    /// The session row was never written.
    #[error("the session has not been written yet; renew it before claiming units")]
    NotStarted,
    /// The lease ended by the own clock; all units held under it are lost.
    #[error("the lease ended before it was renewed; renew it and claim the units again")]
    Expired,
}

/// The session of this incarnation.
///
/// The lease counts from the moment before a renewal is sent, so it ends here before anyone else
/// can believe that it has ended.
#[derive(Clone, Debug)]
pub struct Session {
    incarnation: Incarnation,
    lease: Duration,
    version: RowVersion,
    expires_at: Option<Uptime>,
    /// First renewal since the last confirmed one. A renewal whose reply was lost may take effect
    /// late, so a version that is read back counts from here.
    first_unconfirmed: Option<Uptime>,
}

impl Session {
    /// A session that has not been written yet.
    pub fn new(incarnation: Incarnation, lease: Duration) -> Self {
        Session { incarnation, lease, version: 0, expires_at: None, first_unconfirmed: None }
    }

    /// The incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Length of the lease.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Version of the session row as last confirmed; 0 before the first renewal.
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// End of the lease by the own clock, if it has not passed.
    pub fn check_lease(&self, now: Uptime) -> Result<Uptime, SessionError> {
        match self.expires_at {
            None => Err(SessionError::NotStarted),
            Some(expires_at) if now < expires_at => Ok(expires_at),
            Some(_) => Err(SessionError::Expired),
        }
    }

    /// Starts a renewal and returns its write.
    pub fn begin_renewal(&mut self, now: Uptime) -> Transaction {
        self.first_unconfirmed.get_or_insert(now);
        let key = session_key(self.incarnation);
        let value = format!("{{\"lease_ms\":{}}}", self.lease.as_millis());
        Transaction {
            checks: vec![(key.clone(), self.version)],
            puts: vec![(key, value.into())],
            deletes: Vec::new(),
        }
    }

    /// Takes the confirmation of the renewal that began at `began`.
    ///
    /// Returns whether the old lease had ended before: then the units held under it may have gone
    /// to others, even though the session goes on.
    pub fn confirm_renewal(
        &mut self,
        now: Uptime,
        started_at: Uptime,
        version: RowVersion,
    ) -> bool {
        let expired = self.expires_at.is_some_and(|expires_at| now >= expires_at);
        self.version = version;
        self.expires_at = Some(started_at + self.lease);
        self.first_unconfirmed = None;
        expired
    }

    /// Takes the version of the session row read after a conflict or a lost reply.
    ///
    /// Returns none if no renewal has taken effect, else what [`Session::confirm`] returns.
    pub fn confirm_from_read(&mut self, now: Uptime, version: RowVersion) -> Option<bool> {
        let first_unconfirmed = self.first_unconfirmed?;
        (version > self.version).then(|| self.confirm_renewal(now, first_unconfirmed, version))
    }
}
