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
struct StoreLabels {
    table: &'static str,
    result: &'static str,
}

/// Metrics of one gateway.
pub struct Metrics {
    registry: Registry,
    answers: Family<StatusLabels, Counter>,
    refusals: Family<KindLabels, Counter>,
    attempts: Family<EvidenceLabels, Counter>,
    store: Family<StoreLabels, Counter>,
    took: Histogram,
    attempt_took: Histogram,
    version: Gauge,
    backends: Gauge,
    home: Gauge,
    knowledge_ms: Gauge,
}

impl Metrics {
    /// Registers every metric.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("papayareel_gateway");
        // 1 ms to 16 s.
        let buckets = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let metrics = Metrics {
            answers: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            store: Family::default(),
            took: buckets(),
            attempt_took: buckets(),
            version: Gauge::default(),
            backends: Gauge::default(),
            home: Gauge::default(),
            knowledge_ms: Gauge::default(),
            registry: Registry::default(),
        };
        let m = &metrics;
        registry.register("answers", "Answers of backend servers by status", m.answers.clone());
        registry.register("refusals", "Refusals by kind", m.refusals.clone());
        registry.register("attempts", "Attempts by evidence", m.attempts.clone());
        registry.register("store_calls", "Store calls by table and result", m.store.clone());
        registry.register("request_seconds", "Whole time of a request", m.took.clone());
        let help = "Time of an attempt at a backend server";
        registry.register("attempt_seconds", help, m.attempt_took.clone());
        registry.register("config_version", "Configuration in force", m.version.clone());
        registry.register("backends", "Backend servers known", m.backends.clone());
        registry.register("home", "1 on the home of the failure domain", m.home.clone());
        let help = "Time since the store confirmed what is known";
        registry.register("knowledge_age_milliseconds", help, m.knowledge_ms.clone());
        Metrics { registry, ..metrics }
    }

    /// Counts an answer of a backend server that was passed on.
    pub fn answered(&self, status: u16, took: Duration) {
        self.answers.get_or_create(&StatusLabels { status }).inc();
        self.took.observe(took.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn refused(&self, kind: RefusalKind, took: Duration) {
        self.refusals.get_or_create(&KindLabels { kind: kind.as_str() }).inc();
        self.took.observe(took.as_secs_f64());
    }

    /// Counts an attempt. Without evidence it was refused unrun, or never sent.
    pub fn attempted(&self, evidence: Option<Evidence>, shed: bool, took: Duration) {
        let evidence = match evidence {
            None if shed => "shed",
            None => "unsent",
            Some(Evidence::Success) => "success",
            Some(Evidence::Failure) => "failure",
            Some(Evidence::Broken) => "broken",
            Some(Evidence::Overdue) => "overdue",
        };
        self.attempts.get_or_create(&EvidenceLabels { evidence }).inc();
        self.attempt_took.observe(took.as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn store_call(&self, table: &'static str, ok: bool) {
        let result = if ok { "ok" } else { "failed" };
        self.store.get_or_create(&StoreLabels { table, result }).inc();
    }

    /// Sets the gauges.
    pub fn set(&self, version: u64, backends: usize, home: bool, age: Duration) {
        self.version.set(version as i64);
        self.backends.set(backends as i64);
        self.home.set(i64::from(home));
        self.knowledge_ms.set(age.as_millis().min(3_600_000) as i64);
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
