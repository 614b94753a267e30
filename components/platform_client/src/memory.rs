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

/// Platforms created by [`MemoryPlatform::shared`], by address.
static SHARED_PLATFORMS: Mutex<BTreeMap<SocketAddr, MemoryPlatform>> = Mutex::new(BTreeMap::new());

/// Faults that a [`MemoryPlatform`] simulates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InjectedFaults {
    /// Whether every call returns `Unreachable`.
    pub unreachable: bool,
    /// Number of next commits that are applied but return `ResponseLost`.
    pub lost_responses: u32,
    /// Delay of every call.
    pub delay: Duration,
    /// Time after which a change shows in the list of VMs.
    pub list_lag: Duration,
}

/// Operations that a [`MemoryPlatform`] has executed, including those whose response was lost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OperationCounts {
    /// Row reads, scans, object reads and object lists.
    pub reads: u64,
    /// Rows and objects written or deleted; a transaction without writes counts as one.
    pub writes: u64,
}

#[derive(Default)]
struct State {
    version: RowVersion,
    rows: BTreeMap<Box<str>, (RowVersion, Box<str>)>,
    objects: BTreeMap<Box<str>, Vec<u8>>,
    /// Announcements of each VM in order of time; `None` removes the VM.
    vms: BTreeMap<Box<str>, Vec<(Instant, Option<VmEntry>)>>,
    faults: InjectedFaults,
    counts: OperationCounts,
}

/// In-memory platform. Clones share their state.
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

impl MemoryPlatform {
    /// Creates an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the platform that the plug-in `memory` uses for this address in this process.
    pub fn shared(address: SocketAddr) -> Self {
        let mut shared = SHARED_PLATFORMS.lock().unwrap_or_else(PoisonError::into_inner);
        shared.entry(address).or_default().clone()
    }

    /// Returns the table, object store and VM list of this platform.
    pub fn open(&self) -> Platform {
        let shared = Arc::new(self.clone());
        Platform { table: shared.clone(), objects: shared.clone(), vms: shared }
    }

    /// Changes the simulated faults.
    pub fn inject_faults(&self, change: impl FnOnce(&mut InjectedFaults)) {
        change(&mut self.lock().faults);
    }

    /// Returns the operations executed so far.
    pub fn counts(&self) -> OperationCounts {
        self.lock().counts
    }

    /// Removes a VM from the list, as the platform does once the VM no longer exists.
    pub fn remove_vm(&self, vm: &str) {
        if let Some(entries) = self.lock().vms.get_mut(vm) {
            entries.push((Instant::now(), None));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn begin_call(&self) -> Result<MutexGuard<'_, State>, PlatformError> {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let state = self.lock();
        if state.faults.unreachable {
            return Err(PlatformError::Unreachable(
                "the in-memory platform is set to be unreachable".into(),
            ));
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
        if let Some((key, _)) =
            checks.iter().find(|(key, expected)| self.version_of(key) != *expected)
        {
            return Err(PlatformError::Conflict { key: key.clone() });
        }
        // One version counter for all rows, so that a re-created row never reuses a version.
        self.version += 1;
        for (key, value) in puts {
            self.rows.insert(key.clone(), (self.version, value.clone()));
        }
        for key in deletes {
            self.rows.remove(key);
        }
        if self.faults.lost_responses > 0 {
            self.faults.lost_responses -= 1;
            return Err(PlatformError::ResponseLost(
                "the in-memory platform is set to lose responses".into(),
            ));
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
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= lag;
        self.vms
            .values()
            .filter_map(|entries| entries.iter().rev().find(|(at, _)| is_visible(*at))?.1.clone())
            .collect()
    }
}

impl TableStore for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, PlatformError>> {
        async move {
            let mut state = self.begin_call().await?;
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
            let mut state = self.begin_call().await?;
            state.counts.reads += 1;
            Ok(state.scan(prefix, after, limit))
        }
        .boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<RowVersion, PlatformError>> {
        async move { self.begin_call().await?.commit(transaction) }.boxed()
    }
}

impl ObjectStore for MemoryPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        async move {
            let mut state = self.begin_call().await?;
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
            let mut state = self.begin_call().await?;
            state.counts.writes += 1;
            state.objects.insert(name.into(), bytes);
            Ok(())
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Box<str>>, PlatformError>> {
        async move {
            let mut state = self.begin_call().await?;
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
            let mut state = self.begin_call().await?;
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
            let mut state = self.begin_call().await?;
            let entries = state.vms.entry(entry.vm.clone()).or_default();
            // Unchanged announcements are skipped, so that renewals do not grow the history.
            if entries.last().is_none_or(|(_, last)| last.as_ref() != Some(entry)) {
                entries.push((Instant::now(), Some(entry.clone())));
            }
            Ok(())
        }
        .boxed()
    }

    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, PlatformError>> {
        async move { Ok(self.begin_call().await?.list_vms()) }.boxed()
    }
}
