use std::sync::Arc;

use futures::future::BoxFuture;
use kernel::{
    ObjectStore, Platform, PlatformError, Row, RowVersion, TableStore, Transaction, VmEntry, VmList,
};
use telemetry::{Metrics, StoreCall, StoreResult, platform_span};

/// Platform that counts and traces its calls.
struct InstrumentedPlatform {
    inner: Platform,
    metrics: Arc<Metrics>,
}

/// Wraps a platform so that its calls are counted and traced.
pub fn instrument(inner: Platform, metrics: Arc<Metrics>) -> Platform {
    let instrumented = Arc::new(InstrumentedPlatform { inner, metrics });
    Platform {
        table: Arc::clone(&instrumented) as Arc<dyn TableStore>,
        objects: Arc::clone(&instrumented) as Arc<dyn ObjectStore>,
        vms: instrumented,
    }
}

type StoreFuture<'a, T> = BoxFuture<'a, Result<T, PlatformError>>;

impl InstrumentedPlatform {
    fn record_call<'a, T: 'a>(
        &'a self,
        call: StoreCall,
        response: StoreFuture<'a, T>,
    ) -> StoreFuture<'a, T> {
        Box::pin(async move {
            // Row keys may contain idempotency keys, so neither spans nor events include them.
            let span = platform_span(call.as_str());
            let response = response.await;
            let result = StoreResult::from(&response);
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
            response
        })
    }
}

impl TableStore for InstrumentedPlatform {
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Row>> {
        self.record_call(StoreCall::Read, self.inner.table.read(key))
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Row>> {
        self.record_call(StoreCall::Read, self.inner.table.scan(prefix, after, limit))
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> StoreFuture<'a, RowVersion> {
        self.record_call(StoreCall::Commit, self.inner.table.commit(transaction))
    }
}

impl ObjectStore for InstrumentedPlatform {
    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Option<Vec<u8>>> {
        self.record_call(StoreCall::ObjectRead, self.inner.objects.get(name))
    }

    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>) -> StoreFuture<'a, ()> {
        self.record_call(StoreCall::ObjectWrite, self.inner.objects.put(name, bytes))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<Box<str>>> {
        self.record_call(StoreCall::ObjectRead, self.inner.objects.list(prefix))
    }

    fn delete<'a>(&'a self, name: &'a str) -> StoreFuture<'a, ()> {
        self.record_call(StoreCall::ObjectWrite, self.inner.objects.delete(name))
    }
}

impl VmList for InstrumentedPlatform {
    fn announce<'a>(&'a self, entry: &'a VmEntry) -> StoreFuture<'a, ()> {
        self.record_call(StoreCall::Vms, self.inner.vms.announce(entry))
    }

    fn list(&self) -> StoreFuture<'_, Vec<VmEntry>> {
        self.record_call(StoreCall::Vms, self.inner.vms.list())
    }
}
