use std::sync::Arc;

use futures::future::BoxFuture;
use kernel::{
    ObjectStore, Platform, PlatformError, Row, RowVersion, TableStore, Transaction, VmEntry, VmList,
};
use telemetry::{Metrics, StoreCall, StoreResult, platform_span};

/// A platform whose calls are counted and traced.
struct Observed {
    inner: Platform,
    metrics: Arc<Metrics>,
}

/// Counts and traces the calls to a platform.
pub fn observe(inner: Platform, metrics: Arc<Metrics>) -> Platform {
    let observed = Arc::new(Observed { inner, metrics });
    Platform {
        table: Arc::clone(&observed) as Arc<dyn TableStore>,
        objects: Arc::clone(&observed) as Arc<dyn ObjectStore>,
        vms: observed,
    }
}

type Answer<'a, T> = BoxFuture<'a, Result<T, PlatformError>>;

impl Observed {
    fn watch<'a, T: 'a>(&'a self, call: StoreCall, answer: Answer<'a, T>) -> Answer<'a, T> {
        Box::pin(async move {
            // Row keys may name idempotency keys, so that neither spans nor events have them.
            let span = platform_span(call.as_str());
            let answer = answer.await;
            let result = StoreResult::from(&answer);
            span.record("result", result.as_str());
            self.metrics.count_store_call(call, result);
            match result {
                StoreResult::ResponseLost if call == StoreCall::Commit => {
                    telemetry::event!(STORE_REPLY_LOST);
                }
                StoreResult::Throttled => {
                    telemetry::event!(STORE_THROTTLED, call = call.as_str());
                }
                StoreResult::InvalidResponse => {
                    telemetry::event!(STORE_GARBLED, call = call.as_str())
                }
                _ => {}
            }
            answer
        })
    }
}

impl TableStore for Observed {
    fn read<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Row>> {
        self.watch(StoreCall::Read, self.inner.table.read(key))
    }

    fn scan<'a>(&'a self, prefix: &'a str, after: &'a str, limit: usize) -> Answer<'a, Vec<Row>> {
        self.watch(StoreCall::Read, self.inner.table.scan(prefix, after, limit))
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> Answer<'a, RowVersion> {
        self.watch(StoreCall::Commit, self.inner.table.commit(transaction))
    }
}

impl ObjectStore for Observed {
    fn get<'a>(&'a self, name: &'a str) -> Answer<'a, Option<Vec<u8>>> {
        self.watch(StoreCall::ObjectRead, self.inner.objects.get(name))
    }

    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>) -> Answer<'a, ()> {
        self.watch(StoreCall::ObjectWrite, self.inner.objects.put(name, bytes))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<Box<str>>> {
        self.watch(StoreCall::ObjectRead, self.inner.objects.list(prefix))
    }

    fn delete<'a>(&'a self, name: &'a str) -> Answer<'a, ()> {
        self.watch(StoreCall::ObjectWrite, self.inner.objects.delete(name))
    }
}

impl VmList for Observed {
    fn announce<'a>(&'a self, entry: &'a VmEntry) -> Answer<'a, ()> {
        self.watch(StoreCall::Vms, self.inner.vms.announce(entry))
    }

    fn list(&self) -> Answer<'_, Vec<VmEntry>> {
        self.watch(StoreCall::Vms, self.inner.vms.list())
    }
}
