//! An in-memory table that can lose requests and responses, and an in-memory object store.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::future::BoxFuture;
use kernel::{ObjectStore, PlatformError, Row, RowVersion, TableStore, Transaction};

type Rows = BTreeMap<Box<str>, Row>;

/// In-memory table.
#[derive(Default)]
pub struct MemoryTable {
    rows: Mutex<Rows>,
    version: AtomicU64,
    /// Number of next commits that are applied, but whose responses are lost.
    pub lost_responses: AtomicU64,
    /// Number of next commits that are lost before they are applied.
    pub lost_requests: AtomicU64,
}

/// Decrements a counter; false if it is zero.
fn decrement(counter: &AtomicU64) -> bool {
    counter.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)).is_ok()
}

impl TableStore for MemoryTable {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, PlatformError>> {
        Box::pin(async move {
            let row = self.rows.lock().unwrap().get(key).cloned();
            // Lets concurrent calls run between a read and the commit that depends on it.
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
            let response_lost = || Err(PlatformError::ResponseLost("test".into()));
            if decrement(&self.lost_requests) {
                return response_lost();
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
            if decrement(&self.lost_responses) { response_lost() } else { Ok(version) }
        })
    }
}

/// In-memory object store.
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
