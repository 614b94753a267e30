use std::sync::Arc;

use kernel::prelude::*;
use kernel::{ObjectStore, PlatformError, Row, RowVersion, TableStore, Transaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::rows::{ChangeRow, HEAD, Head, change_key, delta_key, digest_changes};
use crate::{ChangeError, ChangeSet, Delta, FleetConfig, SnapshotError, apply};

/// Tries of one commit. Only commits of other VMs and upkeep of the head row take tries away.
const COMMIT_TRIES: usize = 5;

/// Why the configuration was not read or written.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum StoreError {
    /// The change set itself was refused; nothing was written.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// The platform did not do what it was asked; nothing was written.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The change may or may not have taken effect.
    #[error(
        "the outcome of change {change_id:?} is not known ({cause}); send it again with the same \
         change id, which has no second effect"
    )]
    Uncertain {
        /// Id of the change set.
        change_id: Box<str>,
        /// What kept the outcome from being read back.
        cause: Box<str>,
    },
    /// Another change set had this id.
    #[error(
        "change id {change_id:?} was used for other changes in version {version}; use a new id"
    )]
    IdReused {
        /// Id of the change set.
        change_id: Box<str>,
        /// Version that the other set led to.
        version: ConfigVersion,
    },
    /// Other writes kept coming first; nothing was written.
    #[error("other writes to the configuration came first {COMMIT_TRIES} times; send it again")]
    Busy,
    /// A row makes no sense.
    #[error("row {key:?} cannot be read ({cause}); update this VM or restore the row")]
    Unreadable {
        /// Key of the row.
        key: Box<str>,
        /// What is wrong with it.
        cause: Box<str>,
    },
    /// Neither deltas nor snapshots lead from the held version to the newest.
    #[error(
        "nothing leads from version {held} to version {newest}; fetch the configuration from \
         another VM or restore a snapshot"
    )]
    Gap {
        /// Version that was held.
        held: ConfigVersion,
        /// Newest version.
        newest: ConfigVersion,
    },
    /// A snapshot could not be written or read back.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// What became of a change set.
#[derive(Clone, Debug, PartialEq)]
pub enum Committed {
    /// It took effect now.
    Now {
        /// The newest configuration.
        config: FleetConfig,
        /// What was changed.
        delta: Delta,
        /// Whether [`ConfigStore::write_snapshot`] should be called with the configuration.
        snapshot_due: bool,
    },
    /// It had taken effect before.
    Before {
        /// Version that it led to.
        version: ConfigVersion,
    },
}

/// The configuration in the platform's table and object store.
///
/// The head row only moves from one version to the next, in one transaction with the delta.
#[derive(Clone)]
pub struct ConfigStore {
    pub(crate) table: Arc<dyn TableStore>,
    pub(crate) objects: Arc<dyn ObjectStore>,
}

impl ConfigStore {
    /// Changes between two snapshots.
    pub const SNAPSHOT_EVERY: u64 = 64;
    /// Snapshots that are kept.
    pub const SNAPSHOTS_KEPT: usize = 3;

    /// A store over these services.
    pub fn new(table: Arc<dyn TableStore>, objects: Arc<dyn ObjectStore>) -> Self {
        ConfigStore { table, objects }
    }

    /// Reads the newest version.
    pub async fn head(&self) -> Result<Head, StoreError> {
        Ok(self.read_head().await?.1)
    }

    /// Reads the head with the version of its row, 0 if there is none.
    pub(crate) async fn read_head(&self) -> Result<(RowVersion, Head), StoreError> {
        match self.table.read(HEAD).await? {
            None => Ok((0, Head::default())),
            Some(row) => Ok((row.version, parse(&row)?)),
        }
    }

    /// Applies a change set to the newest configuration, of which `held` is any earlier version.
    ///
    /// A set whose id has taken effect before has no second effect, also after a lost reply.
    pub async fn commit(
        &self,
        held: &FleetConfig,
        set: &ChangeSet,
    ) -> Result<Committed, StoreError> {
        let mut lost = None;
        for _ in 0..COMMIT_TRIES {
            match self.try_commit(held, set).await {
                Ok(Some(committed)) => return Ok(committed),
                Ok(None) => {}
                // The next try reads the outcome back. Its checks are those of this try, so that
                // a transaction that is still under way cannot take effect as well.
                Err(StoreError::Platform(
                    cause @ (PlatformError::ResponseLost(_) | PlatformError::InvalidResponse(_)),
                )) => lost = Some(cause),
                Err(StoreError::Platform(cause)) if lost.is_some() => lost = Some(cause),
                Err(error) => return Err(error),
            }
        }
        match lost {
            None => Err(StoreError::Busy),
            Some(cause) => Err(StoreError::Uncertain {
                change_id: set.change_id.clone(),
                cause: cause.to_string().into(),
            }),
        }
    }

    /// One try; none if another write came first.
    async fn try_commit(
        &self,
        held: &FleetConfig,
        set: &ChangeSet,
    ) -> Result<Option<Committed>, StoreError> {
        let change_key = change_key(&set.change_id);
        let sha256 = digest_changes(&set.changes).map_err(|e| unreadable(&change_key, e))?;
        if let Some(row) = self.table.read(&change_key).await? {
            let ChangeRow { version, sha256: earlier } = parse(&row)?;
            if earlier != sha256 {
                let change_id = set.change_id.clone();
                return Err(StoreError::IdReused { change_id, version });
            }
            return Ok(Some(Committed::Before { version }));
        }
        let (row_version, head) = self.read_head().await?;
        if head.version != set.base_version {
            let (base, current) = (set.base_version, head.version);
            return Err(ChangeError::Conflict { base, current }.into());
        }
        let (config, delta) = if held.version == head.version {
            apply(held, set)?
        } else {
            apply(&self.load(held).await?.config, set)?
        };
        let version = config.version;
        let delta_key = delta_key(version);
        let head = Head { version, ..head };
        let transaction = Transaction {
            checks: vec![(HEAD.into(), row_version), (change_key.clone(), 0)],
            puts: vec![
                (HEAD.into(), render(HEAD, &head)?),
                (delta_key.clone(), render(&delta_key, &delta)?),
                (change_key.clone(), render(&change_key, &ChangeRow { version, sha256 })?),
            ],
            deletes: vec![],
        };
        match self.table.commit(&transaction).await {
            Ok(_) => {
                let snapshot_due = version >= head.snapshot + Self::SNAPSHOT_EVERY;
                Ok(Some(Committed::Now { config, delta, snapshot_due }))
            }
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

/// Reads the value of a row.
pub(crate) fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    serde_json::from_str(&row.value).map_err(|e| unreadable(&row.key, e))
}

/// Writes the value of a row.
pub(crate) fn render(key: &str, value: &impl Serialize) -> Result<Box<str>, StoreError> {
    serde_json::to_string(value).map(Into::into).map_err(|e| unreadable(key, e))
}

fn unreadable(key: &str, cause: serde_json::Error) -> StoreError {
    StoreError::Unreadable { key: key.into(), cause: cause.to_string().into() }
}
