use std::sync::Arc;

use kernel::prelude::*;
use kernel::{ObjectStore, PlatformError, Row, RowVersion, TableStore, Transaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::rows::{ChangeRow, HEAD_KEY, Head, change_key, delta_key, digest_changes};
use crate::{ChangeError, ChangeSet, Delta, FleetConfig, SnapshotError, apply};

/// Attempts of one commit. An attempt fails if another VM commits first or the head row is updated
/// after a snapshot.
const MAX_COMMIT_ATTEMPTS: usize = 5;

/// Why the configuration could not be read or written.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ConfigStoreError {
    /// The change set was rejected; nothing was written.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// A call to the platform failed; nothing was written.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The response to the commit was lost; the change may or may not have been applied.
    #[error(
        "the outcome of change {change_id:?} is unknown ({cause}); send it again with the same \
         change id, it is applied at most once"
    )]
    UnknownOutcome {
        /// Id of the change set.
        change_id: Box<str>,
        /// Last error of the platform.
        cause: Box<str>,
    },
    /// Another change set with this id was applied before.
    #[error(
        "change id {change_id:?} was used for other changes in version {version}; use a new id"
    )]
    ChangeIdReused {
        /// Id of the change set.
        change_id: Box<str>,
        /// Version that the other set created.
        version: ConfigVersion,
    },
    /// Every attempt conflicted with another write; nothing was written.
    #[error(
        "{MAX_COMMIT_ATTEMPTS} attempts conflicted with other writes to the configuration; send the \
         change again"
    )]
    Contention,
    /// The value of a row cannot be parsed or serialized.
    #[error("row {key:?} is invalid ({cause}); update this VM or restore the row")]
    InvalidRow {
        /// Key of the row.
        key: Box<str>,
        /// Error of the JSON code.
        cause: Box<str>,
    },
    /// Neither the deltas nor any snapshot lead from the local version to the newest.
    #[error(
        "the deltas from version {local} to version {newest} are incomplete and no usable snapshot \
         replaces them; fetch the configuration from another VM or restore a snapshot"
    )]
    MissingDeltas {
        /// Version of the local configuration.
        local: ConfigVersion,
        /// Newest version.
        newest: ConfigVersion,
    },
    /// A snapshot could not be written or read back.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Result of [`ConfigStore::commit`].
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// The change set was applied.
    Applied {
        /// The newest configuration.
        config: FleetConfig,
        /// The changes as stored.
        delta: Delta,
        /// Whether the caller should call [`ConfigStore::write_snapshot`] with the configuration.
        snapshot_due: bool,
    },
    /// The change set was applied before.
    AlreadyApplied {
        /// Version that it created.
        version: ConfigVersion,
    },
}

/// The configuration in the platform's table and object store.
///
/// The head row advances by one version at a time, in the transaction that writes the delta.
#[derive(Clone)]
pub struct ConfigStore {
    pub(crate) table: Arc<dyn TableStore>,
    pub(crate) objects: Arc<dyn ObjectStore>,
}

impl ConfigStore {
    /// Number of versions between two snapshots.
    pub const SNAPSHOT_INTERVAL: u64 = 64;
    /// Number of snapshots that are kept.
    pub const MAX_SNAPSHOTS: usize = 3;

    /// Creates a store over the platform's table and object store.
    pub fn new(table: Arc<dyn TableStore>, objects: Arc<dyn ObjectStore>) -> Self {
        ConfigStore { table, objects }
    }

    /// Reads the head row; its default if there is none.
    pub async fn head(&self) -> Result<Head, ConfigStoreError> {
        Ok(self.read_head_row().await?.1)
    }

    /// Reads the head row with its row version, 0 if there is no row.
    pub(crate) async fn read_head_row(&self) -> Result<(RowVersion, Head), ConfigStoreError> {
        match self.table.read(HEAD_KEY).await? {
            None => Ok((0, Head::default())),
            Some(row) => Ok((row.version, parse_row(&row)?)),
        }
    }

    /// Applies a change set to the newest configuration. `local` is that one or an older version.
    ///
    /// A change set with the id of one that was applied before is not applied again, also if the
    /// response to the first attempt was lost.
    pub async fn commit(
        &self,
        local: &FleetConfig,
        set: &ChangeSet,
    ) -> Result<CommitOutcome, ConfigStoreError> {
        let mut unknown_cause = None;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match self.try_commit(local, set).await {
                Ok(Some(committed)) => return Ok(committed),
                Ok(None) => {}
                // The next attempt reads the outcome. It checks the same row versions as this one,
                // so that at most one of the two transactions is applied, even if this one is still
                // being processed.
                Err(ConfigStoreError::Platform(
                    cause @ (PlatformError::ResponseLost(_) | PlatformError::InvalidResponse(_)),
                )) => unknown_cause = Some(cause),
                Err(ConfigStoreError::Platform(cause)) if unknown_cause.is_some() => {
                    unknown_cause = Some(cause)
                }
                Err(error) => return Err(error),
            }
        }
        match unknown_cause {
            None => Err(ConfigStoreError::Contention),
            Some(cause) => Err(ConfigStoreError::UnknownOutcome {
                change_id: set.change_id.clone(),
                cause: cause.to_string().into(),
            }),
        }
    }

    /// One attempt; `None` if it conflicted with another write.
    async fn try_commit(
        &self,
        local: &FleetConfig,
        set: &ChangeSet,
    ) -> Result<Option<CommitOutcome>, ConfigStoreError> {
        let change_key = change_key(&set.change_id);
        let sha256 = digest_changes(&set.changes).map_err(|e| invalid_row(&change_key, e))?;
        if let Some(row) = self.table.read(&change_key).await? {
            let ChangeRow { version, sha256: stored_sha256 } = parse_row(&row)?;
            if stored_sha256 != sha256 {
                let change_id = set.change_id.clone();
                return Err(ConfigStoreError::ChangeIdReused { change_id, version });
            }
            return Ok(Some(CommitOutcome::AlreadyApplied { version }));
        }
        let (row_version, head) = self.read_head_row().await?;
        if head.version != set.base_version {
            let (base, current) = (set.base_version, head.version);
            return Err(ChangeError::Conflict { base, current }.into());
        }
        let (config, delta) = if local.version == head.version {
            apply(local, set)?
        } else {
            apply(&self.load(local).await?.config, set)?
        };
        let version = config.version;
        let delta_key = delta_key(version);
        let head = Head { version, ..head };
        let transaction = Transaction {
            checks: vec![(HEAD_KEY.into(), row_version), (change_key.clone(), 0)],
            puts: vec![
                (HEAD_KEY.into(), serialize_row(HEAD_KEY, &head)?),
                (delta_key.clone(), serialize_row(&delta_key, &delta)?),
                (change_key.clone(), serialize_row(&change_key, &ChangeRow { version, sha256 })?),
            ],
            deletes: vec![],
        };
        match self.table.commit(&transaction).await {
            Ok(_) => {
                let snapshot_due = version >= head.snapshot + Self::SNAPSHOT_INTERVAL;
                Ok(Some(CommitOutcome::Applied { config, delta, snapshot_due }))
            }
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

/// Parses the value of a row.
pub(crate) fn parse_row<T: DeserializeOwned>(row: &Row) -> Result<T, ConfigStoreError> {
    serde_json::from_str(&row.value).map_err(|e| invalid_row(&row.key, e))
}

/// Serializes the value of a row.
pub(crate) fn serialize_row(
    key: &str,
    value: &impl Serialize,
) -> Result<Box<str>, ConfigStoreError> {
    serde_json::to_string(value).map(Into::into).map_err(|e| invalid_row(key, e))
}

fn invalid_row(key: &str, cause: serde_json::Error) -> ConfigStoreError {
    ConfigStoreError::InvalidRow { key: key.into(), cause: cause.to_string().into() }
}
