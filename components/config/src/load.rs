use kernel::prelude::*;

use crate::rows::{DELTAS, SNAPSHOTS, delta_key, snapshot_version};
use crate::store::parse;
use crate::{ConfigStore, Delta, FleetConfig, SnapshotError, StoreError, decode, replay};

/// Deltas read at once. A delta of today's size has a few hundred bytes.
const PAGE: usize = 256;

/// Steps behind the newest version beyond which a snapshot is read first.
const FAR: u64 = 256;

/// A configuration that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Loaded {
    /// The configuration; its version is never below the one that was held.
    pub config: FleetConfig,
    /// Snapshots that could not be used, by object name.
    pub skipped: Vec<(Box<str>, SnapshotError)>,
}

impl ConfigStore {
    /// Reads the deltas that follow a version, in order and without gaps.
    ///
    /// The list ends early where rows are missing or cannot be read.
    pub async fn deltas(&self, after: ConfigVersion) -> Result<Vec<Delta>, StoreError> {
        let mut deltas: Vec<Delta> = Vec::new();
        let mut key = delta_key(after);
        loop {
            let rows = self.table.scan(DELTAS, &key, PAGE).await?;
            for row in &rows {
                let next = after + deltas.len() as u64 + 1;
                match parse::<Delta>(row) {
                    Ok(delta) if delta.version == next => deltas.push(delta),
                    _ => return Ok(deltas),
                }
            }
            match rows.last() {
                Some(row) if rows.len() == PAGE => key = row.key.clone(),
                _ => return Ok(deltas),
            }
        }
    }

    /// Reads the newest configuration: the held one and the deltas since, or the newest snapshot
    /// that can be used and the deltas after it.
    ///
    /// If the table has a lower version than the held one, the held one is the result.
    pub async fn load(&self, held: &FleetConfig) -> Result<Loaded, StoreError> {
        let newest = self.head().await?.version;
        let mut skipped = Vec::new();
        if newest <= held.version {
            return Ok(Loaded { config: held.clone(), skipped });
        }
        let near = newest - held.version <= FAR;
        if near && let Some(config) = self.follow(held.clone(), newest).await? {
            return Ok(Loaded { config, skipped });
        }
        let mut names = self.objects.list(SNAPSHOTS).await?;
        names.retain(|name| snapshot_version(name).is_some_and(|version| version > held.version));
        names.sort_unstable();
        for name in names.into_iter().rev() {
            // An object that was deleted since the listing is too old to matter.
            let Some(bytes) = self.objects.get(&name).await? else { continue };
            match decode(&bytes) {
                Ok(config) if config.version <= held.version => {}
                Ok(config) => {
                    if let Some(config) = self.follow(config, newest).await? {
                        return Ok(Loaded { config, skipped });
                    }
                }
                Err(error) => skipped.push((name, error)),
            }
        }
        if !near && let Some(config) = self.follow(held.clone(), newest).await? {
            return Ok(Loaded { config, skipped });
        }
        Err(StoreError::Gap { held: held.version, newest })
    }

    /// Advances a configuration by its deltas; none if they do not lead to the newest version.
    async fn follow(
        &self,
        mut config: FleetConfig,
        newest: ConfigVersion,
    ) -> Result<Option<FleetConfig>, StoreError> {
        for delta in self.deltas(config.version).await? {
            replay(&mut config, &delta);
        }
        Ok((config.version >= newest).then_some(config))
    }
}
