use kernel::{PlatformError, Transaction};

use crate::rows::{
    DELTAS, HEAD, Head, SNAPSHOTS, change_key, delta_key, snapshot_name, snapshot_version,
};
use crate::store::{parse, render};
use crate::{ConfigStore, Delta, FleetConfig, StoreError, decode, encode};

/// Deltas deleted in one transaction.
const PRUNE_PAGE: usize = 64;

impl ConfigStore {
    /// Writes a snapshot of an accepted configuration, names it in the head row and deletes what
    /// is no longer needed: all but the last three snapshots, and the deltas that the oldest of
    /// them covers. Returns how many deltas were deleted.
    ///
    /// Every error leaves a state that VMs can load from; the next snapshot goes on from there.
    pub async fn write_snapshot(&self, config: &FleetConfig) -> Result<usize, StoreError> {
        let name = snapshot_name(config.version);
        self.objects.put(&name, encode(config)?).await?;
        let (row_version, head) = self.read_head().await?;
        if head.snapshot < config.version {
            let head = Head { snapshot: config.version, ..head };
            let transaction = Transaction {
                checks: vec![(HEAD.into(), row_version)],
                puts: vec![(HEAD.into(), render(HEAD, &head)?)],
                deletes: vec![],
            };
            match self.table.commit(&transaction).await {
                // A change came first. Loading lists the snapshots, so the name in the head row
                // only tells when the next one is due.
                Ok(_) | Err(PlatformError::Conflict { .. }) => {}
                Err(error) => return Err(error.into()),
            }
        }
        self.prune().await
    }

    async fn prune(&self) -> Result<usize, StoreError> {
        let mut names = self.objects.list(SNAPSHOTS).await?;
        names.retain(|name| snapshot_version(name).is_some());
        names.sort_unstable();
        let Some(surplus) = names.len().checked_sub(Self::MAX_SNAPSHOTS) else { return Ok(0) };
        // Nothing is deleted that a damaged snapshot would be needed for.
        let oldest = &names[surplus];
        let Some(bytes) = self.objects.get(oldest).await? else { return Ok(0) };
        let covered = decode(&bytes)?.version;
        for name in &names[..surplus] {
            self.objects.delete(name).await?;
        }
        let last = delta_key(covered);
        let mut deleted = 0;
        loop {
            let mut rows = self.table.scan(DELTAS, "", PRUNE_PAGE).await?;
            rows.retain(|row| row.key <= last);
            if rows.is_empty() {
                return Ok(deleted);
            }
            let mut deletes = Vec::new();
            for row in rows {
                deleted += 1;
                // Once the row of a change set is gone, its base version is so old that sending
                // the set again ends in a conflict.
                if let Ok(delta) = parse::<Delta>(&row) {
                    deletes.push(change_key(&delta.change_id));
                }
                deletes.push(row.key);
            }
            self.table.commit(&Transaction { deletes, ..Transaction::default() }).await?;
        }
    }
}
