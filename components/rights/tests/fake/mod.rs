use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::{PlatformError, Row, RowVersion, TableStore, Transaction};

/// Fault that affects the next write.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    Unreachable,
    /// The write takes effect and its reply is lost.
    LostAfter,
    /// The write is lost and has no effect.
    LostBefore,
    /// The reply is lost, and the write takes effect after this number of other writes.
    Delayed(u8),
    /// The writer is paused for these numbers of seconds before and after the write.
    Paused(u64, u64),
}

/// In-memory table with injected faults and a clock that all users share.
#[derive(Default)]
pub struct FakeTable {
    pub clock_ms: AtomicU64,
    pub faults: Mutex<VecDeque<Fault>>,
    rows: Mutex<(RowVersion, BTreeMap<Box<str>, Row>)>,
    delayed: Mutex<Vec<(u8, Transaction)>>,
}

impl FakeTable {
    pub fn advance(&self, time: Duration) {
        self.clock_ms.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }

    pub fn inject(&self, fault: Fault) {
        self.faults.lock().unwrap().push_back(fault);
    }

    fn apply(&self, write: &Transaction) -> Result<RowVersion, PlatformError> {
        let mut rows = self.rows.lock().unwrap();
        for (key, version) in &write.checks {
            if rows.1.get(key).map_or(0, |row| row.version) != *version {
                return Err(PlatformError::Conflict { key: key.clone() });
            }
        }
        rows.0 += 1;
        let version = rows.0;
        for (key, value) in &write.puts {
            rows.1.insert(key.clone(), Row { key: key.clone(), version, value: value.clone() });
        }
        for key in &write.deletes {
            rows.1.remove(key);
        }
        Ok(version)
    }

    fn write(&self, write: &Transaction) -> Result<RowVersion, PlatformError> {
        let lost = || PlatformError::ResponseLost("test".into());
        let fault = self.faults.lock().unwrap().pop_front().unwrap_or(Fault::None);
        let result = match fault {
            Fault::None => self.apply(write),
            Fault::Unreachable => Err(PlatformError::Unreachable("test".into())),
            Fault::LostAfter => self.apply(write).and_then(|_| Err(lost())),
            Fault::LostBefore => Err(lost()),
            Fault::Delayed(writes) => {
                self.delayed.lock().unwrap().push((writes + 1, write.clone()));
                Err(lost())
            }
            Fault::Paused(before, after) => {
                self.advance(Duration::from_secs(before));
                let result = self.apply(write);
                self.advance(Duration::from_secs(after));
                result
            }
        };
        self.delayed.lock().unwrap().retain_mut(|(writes, write)| {
            *writes -= 1;
            // A delayed write that conflicts has no effect, and nobody waits for its reply.
            let _ = *writes == 0 && self.apply(write).is_ok();
            *writes > 0
        });
        result
    }
}

impl TableStore for FakeTable {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, PlatformError>> {
        let row = self.rows.lock().unwrap().1.get(key).cloned();
        async { Ok(row) }.boxed()
    }

    fn scan<'a>(
        &'a self,
        _: &'a str,
        _: &'a str,
        _: usize,
    ) -> BoxFuture<'a, Result<Vec<Row>, PlatformError>> {
        async { Ok(Vec::new()) }.boxed()
    }

    fn commit<'a>(
        &'a self,
        write: &'a Transaction,
    ) -> BoxFuture<'a, Result<RowVersion, PlatformError>> {
        let result = self.write(write);
        async { result }.boxed()
    }
}
