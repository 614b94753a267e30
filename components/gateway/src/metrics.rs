use std::time::Duration;

use dispatch::Evidence;
use kernel::RefusalKind;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct EvidenceLabels {
    evidence: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct PermitLabels {
    result: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct StoreLabels {
    table: &'static str,
    result: &'static str,
}

/// Metrics of one gateway.
pub struct Metrics {
    registry: Registry,
    responses: Family<StatusLabels, Counter>,
    refusals: Family<KindLabels, Counter>,
    attempts: Family<EvidenceLabels, Counter>,
    store_calls: Family<StoreLabels, Counter>,
    connection_ends: Family<EndLabels, Counter>,
    unanswered: Family<EndLabels, Counter>,
    request_duration: Histogram,
    attempt_duration: Histogram,
    config_version: Gauge,
    backends: Gauge,
    limited_backends: Gauge,
    limited_sends: Counter,
    permits: Family<PermitLabels, Counter>,
    leader: Gauge,
    cache_age_ms: Gauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("papayareel_gateway");
        // Buckets from 1 ms to 16 s.
        let new_histogram = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let metrics = Metrics {
            responses: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            store_calls: Family::default(),
            connection_ends: Family::default(),
            unanswered: Family::default(),
            request_duration: new_histogram(),
            attempt_duration: new_histogram(),
            config_version: Gauge::default(),
            backends: Gauge::default(),
            limited_backends: Gauge::default(),
            limited_sends: Counter::default(),
            permits: Family::default(),
            leader: Gauge::default(),
            cache_age_ms: Gauge::default(),
            registry: Registry::default(),
        };
        let m = &metrics;
        registry.register("answers", "Answers of backend servers by status", m.responses.clone());
        registry.register("refusals", "Refusals by kind", m.refusals.clone());
        registry.register("attempts", "Attempts by evidence", m.attempts.clone());
        registry.register("store_calls", "Store calls by table and result", m.store_calls.clone());
        let help = "Connections of callers by the reason of their end";
        registry.register("connection_ends", help, m.connection_ends.clone());
        let help = "Requests without a response by the reason of their connection's end";
        registry.register("unanswered_requests", help, m.unanswered.clone());
        registry.register("request_seconds", "Whole time of a request", m.request_duration.clone());
        let help = "Time of an attempt at a backend server";
        registry.register("attempt_seconds", help, m.attempt_duration.clone());
        registry.register("config_version", "Configuration in force", m.config_version.clone());
        registry.register("backends", "Backend servers known", m.backends.clone());
        let help = "Backend servers with a request limit";
        registry.register("limited_backends", help, m.limited_backends.clone());
        let help = "Requests sent to backend servers with a request limit";
        registry.register("limited_sends", help, m.limited_sends.clone());
        let help = "Permits of the owners of request limits by what became of them";
        registry.register("permits", help, m.permits.clone());
        registry.register("home", "1 on the home of the failure domain", m.leader.clone());
        let help = "Time since the store confirmed what is known";
        registry.register("knowledge_age_milliseconds", help, m.cache_age_ms.clone());
        Metrics { registry, ..metrics }
    }

    /// Counts a backend server's response that was passed on to a caller.
    pub fn record_response(&self, status: u16, elapsed: Duration) {
        self.responses.get_or_create(&StatusLabels { status }).inc();
        self.request_duration.observe(elapsed.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, kind: RefusalKind, elapsed: Duration) {
        self.refusals.get_or_create(&KindLabels { kind: kind.as_str() }).inc();
        self.request_duration.observe(elapsed.as_secs_f64());
    }

    /// Counts an attempt. Without evidence the backend server refused to run it (`not_run`), or it
    /// was not sent.
    pub fn record_attempt(&self, evidence: Option<Evidence>, not_run: bool, elapsed: Duration) {
        let evidence = match evidence {
            None if not_run => "shed",
            None => "unsent",
            Some(Evidence::Success) => "success",
            Some(Evidence::Failure) => "failure",
            Some(Evidence::Broken) => "broken",
            Some(Evidence::Overdue) => "overdue",
        };
        self.attempts.get_or_create(&EvidenceLabels { evidence }).inc();
        self.attempt_duration.observe(elapsed.as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, table: &'static str, ok: bool) {
        let result = if ok { "ok" } else { "failed" };
        self.store_calls.get_or_create(&StoreLabels { table, result }).inc();
    }

    /// Counts the end of a caller's connection and its requests without a response.
    pub fn record_connection_end(&self, end: &'static str, unanswered: u32) {
        self.connection_ends.get_or_create(&EndLabels { end }).inc();
        if unanswered > 0 {
            self.unanswered.get_or_create(&EndLabels { end }).inc_by(unanswered.into());
        }
    }

    /// Counts the backend servers with a request limit, and the requests that were sent to them.
    pub fn record_limited(&self, backends: usize, sends: u32) {
        self.limited_backends.set(backends as i64);
        self.limited_sends.inc_by(sends.into());
    }

    /// Counts permits that other VMs gave to this one.
    pub fn record_permits(&self, received: usize, unused: usize) {
        for (result, count) in [("used", received - unused), ("unused", unused)] {
            self.permits.get_or_create(&PermitLabels { result }).inc_by(count as u64);
        }
    }

    /// Counts a permit that this VM gave to another one.
    pub fn record_grant(&self) {
        self.permits.get_or_create(&PermitLabels { result: "granted" }).inc();
    }

    /// Sets the gauges.
    pub fn set_gauges(&self, config_version: u64, backends: usize, is_leader: bool, age: Duration) {
        self.config_version.set(config_version as i64);
        self.backends.set(backends as i64);
        self.leader.set(i64::from(is_leader));
        self.cache_age_ms.set(age.as_millis().min(3_600_000) as i64);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
