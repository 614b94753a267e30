//! A table and an object store in memory that can lose replies.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::future::BoxFuture;
use kernel::{ObjectStore, PlatformError, Row, RowVersion, TableStore, Transaction};

type Rows = BTreeMap<Box<str>, Row>;

/// Table in memory.
#[derive(Default)]
pub struct MemoryTable {
    rows: Mutex<Rows>,
    version: AtomicU64,
    /// Commits that take effect and whose replies are lost.
    pub lose_after: AtomicU64,
    /// Commits that do not take effect and whose replies are lost.
    pub lose_before: AtomicU64,
}

/// Takes one from a counter unless it is zero.
fn take(counter: &AtomicU64) -> bool {
    counter.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)).is_ok()
}

impl TableStore for MemoryTable {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, PlatformError>> {
        Box::pin(async move {
            let row = self.rows.lock().unwrap().get(key).cloned();
            // Lets calls that run at once come between a read and the commit that builds on it.
            tokio::task::yield_now().await;
            Ok(row)
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Vec<Row>, PlatformError>> {
        Box::pin(async move {
            let rows = self.rows.lock().unwrap();
            let wanted = |row: &&Row| row.key.starts_with(prefix) && &*row.key > after;
            Ok(rows.values().filter(wanted).take(limit).cloned().collect())
        })
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<RowVersion, PlatformError>> {
        Box::pin(async move {
            let lost = || Err(PlatformError::ResponseLost("test".into()));
            if take(&self.lose_before) {
                return lost();
            }
            let mut rows = self.rows.lock().unwrap();
            for (key, version) in &transaction.checks {
                if rows.get(key).map_or(0, |row| row.version) != *version {
                    return Err(PlatformError::Conflict { key: key.clone() });
                }
            }
            let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
            for (key, value) in &transaction.puts {
                let row = Row { key: key.clone(), version, value: value.clone() };
                rows.insert(key.clone(), row);
            }
            transaction.deletes.iter().for_each(|key| drop(rows.remove(key)));
            if take(&self.lose_after) { lost() } else { Ok(version) }
        })
    }
}

/// Object store in memory.
#[derive(Default)]
pub struct MemoryObjects(pub Mutex<BTreeMap<Box<str>, Vec<u8>>>);

impl ObjectStore for MemoryObjects {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        Box::pin(async move { Ok(self.0.lock().unwrap().get(name).cloned()) })
    }

    fn put<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            self.0.lock().unwrap().insert(name.into(), bytes);
            Ok(())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Box<str>>, PlatformError>> {
        Box::pin(async move {
            let objects = self.0.lock().unwrap();
            Ok(objects.keys().filter(|name| name.starts_with(prefix)).cloned().collect())
        })
    }

    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            self.0.lock().unwrap().remove(name);
            Ok(())
        })
    }
}
