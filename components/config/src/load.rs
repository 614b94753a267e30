use kernel::prelude::*;

use crate::rows::{DELTA_PREFIX, SNAPSHOT_PREFIX, delta_key, snapshot_version};
use crate::store::parse_row;
use crate::{ConfigStore, ConfigStoreError, Delta, FleetConfig, SnapshotError, decode, replay};

/// Deltas read in one scan; a typical delta has a few hundred bytes.
const PAGE_ROWS: usize = 256;

/// Versions behind the newest up to which replaying deltas is tried before reading a snapshot.
const MAX_REPLAYED_VERSIONS: u64 = 256;

/// Result of [`ConfigStore::load`].
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedConfig {
    /// The configuration; its version is never below the local one.
    pub config: FleetConfig,
    /// Names of the snapshot objects that could not be used, with the reason.
    pub skipped_snapshots: Vec<(Box<str>, SnapshotError)>,
}

impl ConfigStore {
    /// Reads the deltas after a version, in order and without gaps.
    ///
    /// The list ends before the first row that is missing or cannot be parsed.
    pub async fn read_deltas(&self, after: ConfigVersion) -> Result<Vec<Delta>, ConfigStoreError> {
        let mut deltas: Vec<Delta> = Vec::new();
        let mut key = delta_key(after);
        loop {
            let rows = self.table.scan(DELTA_PREFIX, &key, PAGE_ROWS).await?;
            for row in &rows {
                let next = after + deltas.len() as u64 + 1;
                match parse_row::<Delta>(row) {
                    Ok(delta) if delta.version == next => deltas.push(delta),
                    _ => return Ok(deltas),
                }
            }
            match rows.last() {
                Some(row) if rows.len() == PAGE_ROWS => key = row.key.clone(),
                _ => return Ok(deltas),
            }
        }
    }

    /// Reads the newest configuration: the local one and the deltas since then, or the newest
    /// usable snapshot and the deltas after it.
    ///
    /// Returns the local configuration if the table has a lower version.
    pub async fn load(&self, local: &FleetConfig) -> Result<LoadedConfig, ConfigStoreError> {
        let newest = self.head().await?.version;
        let mut skipped_snapshots = Vec::new();
        if newest <= local.version {
            return Ok(LoadedConfig { config: local.clone(), skipped_snapshots });
        }
        let replay_first = newest - local.version <= MAX_REPLAYED_VERSIONS;
        if replay_first && let Some(config) = self.replay_deltas(local.clone(), newest).await? {
            return Ok(LoadedConfig { config, skipped_snapshots });
        }
        let mut names = self.objects.list(SNAPSHOT_PREFIX).await?;
        names.retain(|name| snapshot_version(name).is_some_and(|version| version > local.version));
        names.sort_unstable();
        for name in names.into_iter().rev() {
            // Only old snapshots are deleted, so one that is gone since the listing is not needed.
            let Some(bytes) = self.objects.get(&name).await? else { continue };
            match decode(&bytes) {
                Ok(config) if config.version <= local.version => {}
                Ok(config) => {
                    if let Some(config) = self.replay_deltas(config, newest).await? {
                        return Ok(LoadedConfig { config, skipped_snapshots });
                    }
                }
                Err(error) => skipped_snapshots.push((name, error)),
            }
        }
        if !replay_first && let Some(config) = self.replay_deltas(local.clone(), newest).await? {
            return Ok(LoadedConfig { config, skipped_snapshots });
        }
        Err(ConfigStoreError::MissingDeltas { local: local.version, newest })
    }

    /// Applies the deltas after a configuration; `None` if they do not reach the newest version.
    async fn replay_deltas(
        &self,
        mut config: FleetConfig,
        newest: ConfigVersion,
    ) -> Result<Option<FleetConfig>, ConfigStoreError> {
        for delta in self.read_deltas(config.version).await? {
            replay(&mut config, &delta);
        }
        Ok((config.version >= newest).then_some(config))
    }
}
