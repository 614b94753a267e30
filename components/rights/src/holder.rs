use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kernel::{Incarnation, PlatformError, RowVersion, TableStore, Transaction, Uptime};

use crate::session::parse_lease;
use crate::{RightRow, RightsError, Session, SessionObserver, right_key, session_key};

/// Maximum number of attempts of one change. Each attempt costs a read and a write of the table.
const MAX_ATTEMPTS: usize = 6;

/// Units that this VM holds of a right.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldUnits {
    /// Number of units held.
    pub units: u32,
    /// Total number of units of the right.
    pub total: u32,
    /// End of the lease by this VM's clock. The units must not be used from then on.
    pub expires_at: Uptime,
    /// Whether the units added by this claim have never been held before, while all other units
    /// were already in use by this holder.
    pub first_use: bool,
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// New end of the lease by this VM's clock.
    pub expires_at: Uptime,
    /// Whether the previous lease had expired. In this case nothing is held any more, and units
    /// must be claimed again.
    pub expired: bool,
}

/// Kind and id of a right.
type RightName = (Box<str>, Box<str>);

/// Claims, renews and releases the rights of this VM in the platform's table.
pub struct Holder {
    table: Arc<dyn TableStore>,
    clock: Arc<dyn Fn() -> Uptime + Send + Sync>,
    session: Session,
    observer: SessionObserver,
    /// Units in use and total number of units, by right. Rights without units are not listed.
    held: BTreeMap<RightName, (u32, u32)>,
    /// Units to keep of each right whose release has not been confirmed.
    pending_releases: BTreeMap<RightName, u32>,
    /// Row versions that unconfirmed writes were based on, by key. Such a write can still take
    /// effect as long as the row has this version, so a row read at this version is not relied on.
    unconfirmed: HashMap<Box<str>, RowVersion>,
}

impl Holder {
    /// Creates a holder without a session. `clock` returns the time since the start of the process.
    pub fn new(
        table: Arc<dyn TableStore>,
        incarnation: Incarnation,
        lease: Duration,
        clock: Arc<dyn Fn() -> Uptime + Send + Sync>,
    ) -> Self {
        Holder {
            table,
            clock,
            session: Session::new(incarnation, lease),
            observer: SessionObserver::default(),
            held: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            unconfirmed: HashMap::new(),
        }
    }

    /// Units in use, by kind and id; empty after the lease has expired.
    pub fn held(&self) -> Vec<(Box<str>, Box<str>, HeldUnits)> {
        let Ok(expires_at) = self.session.check_lease((self.clock)()) else { return Vec::new() };
        self.held
            .iter()
            .map(|((kind, id), &(units, total))| {
                (kind.clone(), id.clone(), HeldUnits { units, total, expires_at, first_use: false })
            })
            .collect()
    }

    /// Renews the session and retries unconfirmed releases. Called every
    /// [`crate::RENEW_INTERVAL`].
    pub async fn renew(&mut self) -> Result<Renewal, RightsError> {
        let renewal = self.renew_session().await?;
        let pending_releases: Vec<_> =
            self.pending_releases.iter().map(|(name, keep)| (name.clone(), *keep)).collect();
        for ((kind, id), keep) in pending_releases {
            // The next renewal retries the remaining releases.
            if self.release(&kind, &id, keep).await.is_err() {
                break;
            }
        }
        Ok(renewal)
    }

    async fn renew_session(&mut self) -> Result<Renewal, RightsError> {
        let started_at = (self.clock)();
        self.drop_expired(started_at);
        let write = self.session.begin_renewal(started_at);
        let expired = match self.table.commit(&write).await {
            Ok(version) => self.session.confirm_renewal((self.clock)(), started_at, version),
            Err(PlatformError::Conflict { .. } | PlatformError::ResponseLost(_)) => {
                let key = session_key(self.session.incarnation());
                let version = self.table.read(&key).await?.map_or(0, |row| row.version);
                let now = (self.clock)();
                match self.session.confirm_from_read(now, version) {
                    Some(expired) => expired,
                    None if version < self.session.version() => {
                        return Err(RightsError::ForeignSession(self.session.incarnation()));
                    }
                    None => return Err(RightsError::Contended { key }),
                }
            }
            Err(error) => return Err(error.into()),
        };
        if expired {
            self.held.clear();
        }
        Ok(Renewal { expires_at: self.session.check_lease((self.clock)())?, expired })
    }

    fn drop_expired(&mut self, now: Uptime) {
        if self.session.check_lease(now).is_err() {
            self.held.clear();
        }
    }

    /// Raises the units held of a right to the lower one of `want` and `max`, out of `total`.
    ///
    /// If units are shares of a whole, `total` must be the same in all calls on all VMs.
    pub async fn claim(
        &mut self,
        kind: &str,
        id: &str,
        want: u32,
        total: u32,
        max: u32,
    ) -> Result<HeldUnits, RightsError> {
        let key = right_key(kind, id);
        let name: RightName = (kind.into(), id.into());
        let me = self.session.incarnation();
        self.pending_releases.remove(&name);
        let units_in_use = self.held.get(&name).map_or(0, |held| held.0);
        // Units and `first_use` of a claim by this call whose reply was lost.
        let mut unconfirmed_claim: Option<(u32, bool)> = None;
        for _ in 0..MAX_ATTEMPTS {
            self.session.check_lease((self.clock)())?;
            let (version, mut row) = self.read_row(&key, total).await?;
            row.total = total;
            let (remaining, mut checks) = self.remove_expired(&row, want.min(max)).await?;
            let claimed = remaining.claim(me, want, max)?;
            // Units in the row that are not in use here are left from an expired lease or an
            // unconfirmed release.
            let first_use = claimed.first_use && row.units_of(me) == units_in_use;
            let is_unconfirmed = self.unconfirmed.get(&key) == Some(&version);
            if claimed.units == row.units_of(me) && !is_unconfirmed {
                let applied = unconfirmed_claim == Some((claimed.units, true));
                return self.record_units(name, &key, claimed.units, total, applied);
            }
            checks.push((session_key(me), self.session.version()));
            match self.write_row(&key, version, &claimed.row, checks).await? {
                WriteOutcome::Applied => {
                    for entry in row.entries.iter().filter(|e| remaining.units_of(e.holder) == 0) {
                        self.observer.forget(entry.holder);
                    }
                    return self.record_units(name, &key, claimed.units, total, first_use);
                }
                WriteOutcome::Unknown => unconfirmed_claim = Some((claimed.units, first_use)),
                WriteOutcome::Rejected => {}
            }
        }
        Err(RightsError::Contended { key })
    }

    /// Records the units of a confirmed claim as held.
    fn record_units(
        &mut self,
        name: RightName,
        key: &str,
        units: u32,
        total: u32,
        first_use: bool,
    ) -> Result<HeldUnits, RightsError> {
        self.unconfirmed.remove(key);
        let expires_at = self.session.check_lease((self.clock)())?;
        if units == 0 {
            self.held.remove(&name);
        } else {
            self.held.insert(name, (units, total));
        }
        Ok(HeldUnits { units, total, expires_at, first_use })
    }

    /// Lowers the units held of a right to `keep`.
    ///
    /// The caller must have stopped using the units. They are no longer held here even if the write
    /// fails, in which case the next renewal repeats it.
    pub async fn release(&mut self, kind: &str, id: &str, keep: u32) -> Result<(), RightsError> {
        let key = right_key(kind, id);
        let name: RightName = (kind.into(), id.into());
        let me = self.session.incarnation();
        if let Some((units, total)) = self.held.remove(&name)
            && units.min(keep) > 0
        {
            self.held.insert(name.clone(), (units.min(keep), total));
        }
        self.pending_releases.insert(name.clone(), keep);
        for _ in 0..MAX_ATTEMPTS {
            let (version, row) = self.read_row(&key, 0).await?;
            let is_unconfirmed = self.unconfirmed.get(&key) == Some(&version);
            if row.units_of(me) > keep || is_unconfirmed {
                match self.write_row(&key, version, &row.release(me, keep), Vec::new()).await? {
                    WriteOutcome::Applied => {}
                    WriteOutcome::Unknown | WriteOutcome::Rejected => continue,
                }
            }
            self.unconfirmed.remove(&key);
            self.pending_releases.remove(&name);
            return Ok(());
        }
        Err(RightsError::Contended { key })
    }

    /// Releases all units and ends the session. The caller must have stopped using the units.
    pub async fn release_all(&mut self) -> Result<(), RightsError> {
        let names: Vec<RightName> =
            self.held.keys().chain(self.pending_releases.keys()).cloned().collect();
        for name in &names {
            self.pending_releases.insert(name.clone(), 0);
        }
        self.held.clear();
        for (kind, id) in names {
            self.release(&kind, &id, 0).await?;
        }
        let key = session_key(self.session.incarnation());
        let write = Transaction { deletes: vec![key], ..Transaction::default() };
        self.table.commit(&write).await?;
        Ok(())
    }

    async fn read_row(&self, key: &str, total: u32) -> Result<(RowVersion, RightRow), RightsError> {
        let Some(row) = self.table.read(key).await? else {
            return Ok((0, RightRow::new(total)));
        };
        match serde_json::from_str(&row.value) {
            Ok(shares) => Ok((row.version, shares)),
            Err(error) => Err(RightsError::Unreadable {
                key: key.into(),
                version: row.version,
                reason: error.to_string().into(),
            }),
        }
    }

    /// Removes holders with expired sessions from the row if the claim needs their units.
    ///
    /// Also returns the checks that the write must include, so that it fails if one of these
    /// sessions was renewed meanwhile.
    async fn remove_expired(
        &mut self,
        row: &RightRow,
        want: u32,
    ) -> Result<(RightRow, Vec<(Box<str>, RowVersion)>), RightsError> {
        let me = self.session.incarnation();
        if want.saturating_sub(row.units_of(me)) <= row.free() {
            return Ok((row.clone(), Vec::new()));
        }
        let mut expired = Vec::new();
        for entry in row.entries.iter().filter(|e| e.holder != me) {
            let key = session_key(entry.holder);
            let row = self.table.read(&key).await?;
            let version = row.as_ref().map_or(0, |row| row.version);
            // Another VM may have a different lease in its settings.
            let own_lease = self.session.lease();
            let lease = row.map_or(own_lease, |row| parse_lease(&row.value)).max(own_lease);
            let now = (self.clock)();
            self.observer.observe(now, entry.holder, version);
            if let Some(version) = self.observer.expired_version(now, entry.holder, lease) {
                expired.push((entry.holder, key, version));
            }
        }
        let remaining = row.remove_expired(|holder| expired.iter().any(|e| e.0 == holder));
        Ok((remaining, expired.into_iter().map(|(_, key, version)| (key, version)).collect()))
    }

    async fn write_row(
        &mut self,
        key: &str,
        version: RowVersion,
        row: &RightRow,
        mut checks: Vec<(Box<str>, RowVersion)>,
    ) -> Result<WriteOutcome, RightsError> {
        checks.push((key.into(), version));
        let value = serde_json::to_string(row).map_err(|error| RightsError::Unreadable {
            key: key.into(),
            version,
            reason: error.to_string().into(),
        })?;
        let write =
            Transaction { checks, puts: vec![(key.into(), value.into())], deletes: Vec::new() };
        match self.table.commit(&write).await {
            Ok(_) => Ok(WriteOutcome::Applied),
            Err(PlatformError::Conflict { .. }) => Ok(WriteOutcome::Rejected),
            Err(PlatformError::ResponseLost(_)) => {
                self.unconfirmed.insert(key.into(), version);
                Ok(WriteOutcome::Unknown)
            }
            Err(error) => Err(error.into()),
        }
    }
}

/// Outcome of a write.
enum WriteOutcome {
    /// It took effect.
    Applied,
    /// It did not take effect.
    Rejected,
    /// It may have taken effect or may still take effect.
    Unknown,
}
