use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::{
    ObjectStore, Platform, PlatformError, PlatformPlugin, Row, RowVersion, TableStore, Transaction,
    VmEntry, VmList,
};
use tokio::time::Instant;

inventory::submit! {
    PlatformPlugin {
        name: "memory",
        build: |context| MemoryPlatform::shared(context.address).open(),
    }
}

/// Platforms that [`MemoryPlatform::shared`] made, by address.
static SHARED: Mutex<BTreeMap<SocketAddr, MemoryPlatform>> = Mutex::new(BTreeMap::new());

/// Faults of a [`MemoryPlatform`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InjectedFaults {
    /// Whether every call ends in `Unreachable`.
    pub unreachable: bool,
    /// Number of commits that will take effect and end in `ResponseLost`.
    pub lost_responses: u32,
    /// Time that every call takes.
    pub delay: Duration,
    /// Age of the list of VMs.
    pub list_lag: Duration,
}

/// Calls that a [`MemoryPlatform`] has answered, whether or not their reply was lost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OperationCounts {
    /// Row reads, scans, object reads and object lists.
    pub reads: u64,
    /// Rows and objects written or deleted; a transaction without any counts as one.
    pub writes: u64,
}

#[derive(Default)]
struct State {
    version: RowVersion,
    rows: BTreeMap<Box<str>, (RowVersion, Box<str>)>,
    objects: BTreeMap<Box<str>, Vec<u8>>,
    /// Announcements of each VM in order; an empty one removes the VM.
    vms: BTreeMap<Box<str>, Vec<(Instant, Option<VmEntry>)>>,
    faults: InjectedFaults,
    counts: OperationCounts,
}

/// Platform in memory. Clones share their state.
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

impl MemoryPlatform {
    /// An empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// The platform of this process that the plug-in `memory` uses for this address.
    pub fn shared(address: SocketAddr) -> Self {
        let mut shared = SHARED.lock().unwrap_or_else(PoisonError::into_inner);
        shared.entry(address).or_default().clone()
    }

    /// The three services.
    pub fn open(&self) -> Platform {
        let shared = Arc::new(self.clone());
        Platform { table: shared.clone(), objects: shared.clone(), vms: shared }
    }

    /// Changes the faults.
    pub fn inject_faults(&self, change: impl FnOnce(&mut InjectedFaults)) {
        change(&mut self.lock().faults);
    }

    /// Calls answered so far.
    pub fn counts(&self) -> OperationCounts {
        self.lock().counts
    }

    /// Takes a VM from the list, as the platform does when the VM is gone.
    pub fn remove_vm(&self, vm: &str) {
        if let Some(entries) = self.lock().vms.get_mut(vm) {
            entries.push((Instant::now(), None));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn reach(&self) -> Result<MutexGuard<'_, State>, PlatformError> {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let state = self.lock();
        if state.faults.unreachable {
            return Err(PlatformError::Unreachable("switched away".into()));
        }
        Ok(state)
    }
}

impl State {
    fn version_of(&self, key: &str) -> RowVersion {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    fn commit(&mut self, transaction: &Transaction) -> Result<RowVersion, PlatformError> {
        let Transaction { checks, puts, deletes } = transaction;
        self.counts.writes += (puts.len() + deletes.len()).max(1) as u64;
        if let Some((key, _)) = checks.iter().find(|(key, seen)| self.version_of(key) != *seen) {
            return Err(PlatformError::Conflict { key: key.clone() });
        }
        // One counter for all rows: a row that is deleted and written again gets a new version.
        self.version += 1;
        for (key, value) in puts {
            self.rows.insert(key.clone(), (self.version, value.clone()));
        }
        for key in deletes {
            self.rows.remove(key);
        }
        if self.faults.lost_responses > 0 {
            self.faults.lost_responses -= 1;
            return Err(PlatformError::ResponseLost("switched to lose replies".into()));
        }
        Ok(self.version)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = prefix.max(after);
        self.rows
            .range::<str, _>((Bound::Included(start), Bound::Unbounded))
            .filter(|(key, _)| &***key > after || after.is_empty())
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }

    fn list_vms(&self) -> Vec<VmEntry> {
        let now = Instant::now();
        let lag = self.faults.list_lag;
        let seen = |at: Instant| now.saturating_duration_since(at) >= lag;
        self.vms
            .values()
            .filter_map(|entries| entries.iter().rev().find(|(at, _)| seen(*at))?.1.clone())
            .collect()
    }
}

impl TableStore for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, PlatformError>> {
        async move {
            let mut state = self.reach().await?;
            state.counts.reads += 1;
            let row = state.rows.get(key);
            Ok(row.map(|(version, value)| Row {
                key: key.into(),
                version: *version,
                value: value.clone(),
            }))
        }
        .boxed()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Vec<Row>, PlatformError>> {
        async move {
            let mut state = self.reach().await?;
            state.counts.reads += 1;
            Ok(state.scan(prefix, after, limit))
        }
        .boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<RowVersion, PlatformError>> {
        async move { self.reach().await?.commit(transaction) }.boxed()
    }
}

impl ObjectStore for MemoryPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        async move {
            let mut state = self.reach().await?;
            state.counts.reads += 1;
            Ok(state.objects.get(name).cloned())
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        async move {
            let mut state = self.reach().await?;
            state.counts.writes += 1;
            state.objects.insert(name.into(), bytes);
            Ok(())
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Box<str>>, PlatformError>> {
        async move {
            let mut state = self.reach().await?;
            state.counts.reads += 1;
            let names = state
                .objects
                .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
                .map(|(name, _)| name.clone());
            Ok(names.take_while(|name| name.starts_with(prefix)).collect())
        }
        .boxed()
    }

    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), PlatformError>> {
        async move {
            let mut state = self.reach().await?;
            state.counts.writes += 1;
            state.objects.remove(name);
            Ok(())
        }
        .boxed()
    }
}

impl VmList for MemoryPlatform {
    fn announce<'a>(&'a self, entry: &'a VmEntry) -> BoxFuture<'a, Result<(), PlatformError>> {
        async move {
            let mut state = self.reach().await?;
            let entries = state.vms.entry(entry.vm.clone()).or_default();
            // A repeated announcement adds nothing, so that renewals do not grow the history.
            if entries.last().is_none_or(|(_, last)| last.as_ref() != Some(entry)) {
                entries.push((Instant::now(), Some(entry.clone())));
            }
            Ok(())
        }
        .boxed()
    }

    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, PlatformError>> {
        async move { Ok(self.reach().await?.list_vms()) }.boxed()
    }
}
