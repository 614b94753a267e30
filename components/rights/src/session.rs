use std::time::Duration;

use kernel::{Incarnation, RowVersion, Transaction, Uptime};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Default lease of a session. The fleet must keep its rights when the store is unavailable for
/// hours.
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

/// Lease in a session row; the default for a row that cannot be parsed.
pub(crate) fn parse_lease(value: &str) -> Duration {
    serde_json::from_str(value)
        .map_or(DEFAULT_LEASE, |row: SessionRow| Duration::from_millis(row.lease_ms))
}

/// Why no units may be held under a session.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum SessionError {
    /// The session row has not been written yet.
    #[error("the session has not been written yet; renew it before claiming units")]
    NotStarted,
    /// The lease has expired by this VM's clock; all units held under it are lost.
    #[error("the lease expired before it was renewed; renew it and claim the units again")]
    Expired,
}

/// Session of this incarnation.
///
/// The lease counts from the time before a renewal is sent, so it expires here before any other VM
/// can consider it expired.
#[derive(Clone, Debug)]
pub struct Session {
    incarnation: Incarnation,
    lease: Duration,
    version: RowVersion,
    expires_at: Option<Uptime>,
    /// Start of the first renewal after the last confirmed one. A renewal whose reply was lost may
    /// take effect late, so for a version that is read later the lease counts from here.
    first_unconfirmed: Option<Uptime>,
}

impl Session {
    /// Creates a session that has not been written yet.
    pub fn new(incarnation: Incarnation, lease: Duration) -> Self {
        Session { incarnation, lease, version: 0, expires_at: None, first_unconfirmed: None }
    }

    /// Incarnation that the session belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Length of the lease.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Last confirmed version of the session row; 0 before the first renewal.
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// End of the lease by this VM's clock, if it has not expired.
    pub fn check_lease(&self, now: Uptime) -> Result<Uptime, SessionError> {
        match self.expires_at {
            None => Err(SessionError::NotStarted),
            Some(expires_at) if now < expires_at => Ok(expires_at),
            Some(_) => Err(SessionError::Expired),
        }
    }

    /// Starts a renewal and returns the transaction to commit for it.
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

    /// Confirms the renewal that was started at `started_at`.
    ///
    /// Returns whether the previous lease had expired by then. In this case other holders may have
    /// taken the units held under it, even though the session continues.
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

    /// Confirms a renewal from the version of the session row that was read after a conflict or a
    /// lost reply.
    ///
    /// Returns `None` if no renewal has taken effect, else the result of
    /// [`Session::confirm_renewal`].
    pub fn confirm_from_read(&mut self, now: Uptime, version: RowVersion) -> Option<bool> {
        let first_unconfirmed = self.first_unconfirmed?;
        (version > self.version).then(|| self.confirm_renewal(now, first_unconfirmed, version))
    }
}
