use kernel::{PlatformError, Transaction};

use crate::rows::{
    DELTA_PREFIX, HEAD_KEY, Head, SNAPSHOT_PREFIX, change_key, delta_key, snapshot_name,
    snapshot_version,
};
use crate::store::{parse_row, serialize_row};
use crate::{ConfigStore, ConfigStoreError, Delta, FleetConfig, decode, encode};

/// Deltas deleted in one transaction.
const PRUNE_PAGE_ROWS: usize = 64;

impl ConfigStore {
    /// Writes a snapshot of an accepted configuration, records its version in the head row and
    /// deletes what is no longer needed: all but the last three snapshots, and the deltas up to the
    /// oldest of these. Returns the number of deleted deltas.
    ///
    /// After an error VMs can still load the configuration, and the next call resumes the work.
    pub async fn write_snapshot(&self, config: &FleetConfig) -> Result<usize, ConfigStoreError> {
        let name = snapshot_name(config.version);
        self.objects.put(&name, encode(config)?).await?;
        let (row_version, head) = self.read_head_row().await?;
        if head.snapshot < config.version {
            let head = Head { snapshot: config.version, ..head };
            let transaction = Transaction {
                checks: vec![(HEAD_KEY.into(), row_version)],
                puts: vec![(HEAD_KEY.into(), serialize_row(HEAD_KEY, &head)?)],
                deletes: vec![],
            };
            match self.table.commit(&transaction).await {
                // After a conflict with a change the head row keeps the older snapshot version.
                // That is harmless: loading lists the snapshot objects, and the head row only tells
                // when the next snapshot is due.
                Ok(_) | Err(PlatformError::Conflict { .. }) => {}
                Err(error) => return Err(error.into()),
            }
        }
        self.prune().await
    }

    async fn prune(&self) -> Result<usize, ConfigStoreError> {
        let mut names = self.objects.list(SNAPSHOT_PREFIX).await?;
        names.retain(|name| snapshot_version(name).is_some());
        names.sort_unstable();
        let Some(excess) = names.len().checked_sub(Self::MAX_SNAPSHOTS) else { return Ok(0) };
        // Decoding the oldest snapshot to keep makes sure that it replaces what is deleted.
        let oldest = &names[excess];
        let Some(bytes) = self.objects.get(oldest).await? else { return Ok(0) };
        let covered_version = decode(&bytes)?.version;
        for name in &names[..excess] {
            self.objects.delete(name).await?;
        }
        let last_covered = delta_key(covered_version);
        let mut deleted = 0;
        loop {
            let mut rows = self.table.scan(DELTA_PREFIX, "", PRUNE_PAGE_ROWS).await?;
            rows.retain(|row| row.key <= last_covered);
            if rows.is_empty() {
                return Ok(deleted);
            }
            let mut deletes = Vec::new();
            for row in rows {
                deleted += 1;
                // Without its row a repeated change set is not recognised, but its base version is
                // then so old that it is rejected with a conflict.
                if let Ok(delta) = parse_row::<Delta>(&row) {
                    deletes.push(change_key(&delta.change_id));
                }
                deletes.push(row.key);
            }
            self.table.commit(&Transaction { deletes, ..Transaction::default() }).await?;
        }
    }
}
