use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use kernel::{ConfigVersion, EjectReason, RefusalKind};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::{OrganisationShare, PeerState, RequestOutcome, StoreCall, StoreResult, select_shares};

/// Organisations shown for the service that is due to them.
const TOP_SHARES: usize = 10;
/// Organisations shown for being served worst.
const WORST_SHARES: usize = 5;

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    outcome: RequestOutcome,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ForwardLabels {
    forwarded: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct DetectionLabels {
    stage: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct OrganisationLabels {
    organisation: String,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct PeerLabels {
    state: PeerState,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct StoreLabels {
    call: StoreCall,
    result: StoreResult,
}

type Seconds = Gauge<f64, AtomicU64>;
type Histograms<L> = Family<L, Histogram, fn() -> Histogram>;

/// Metrics of one VM.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<KindLabels, Counter>,
    refused_within_rate: Family<ServiceLabels, Counter>,
    took: Histograms<ForwardLabels>,
    added: Histograms<ForwardLabels>,
    detection: Histograms<DetectionLabels>,
    suspicions: Family<ReasonLabels, Counter>,
    ejections: Family<ReasonLabels, Counter>,
    restorations: Counter,
    false_ejections: Counter,
    served: Family<OrganisationLabels, Seconds>,
    due: Family<OrganisationLabels, Seconds>,
    version: Gauge<u64, AtomicU64>,
    age: Seconds,
    peers: Family<PeerLabels, Gauge>,
    units: Family<KindLabels, Gauge<u64, AtomicU64>>,
    store: Family<StoreLabels, Counter>,
}

/// Counters of one service, kept by its owner so that a request needs no look-up.
#[derive(Clone, Debug)]
pub struct ServiceMetrics {
    answered: Counter,
    backend_error: Counter,
    not_run: Counter,
    unknown: Counter,
    within_rate: Counter,
}

impl ServiceMetrics {
    /// Counts a request that has ended.
    pub fn count_request(&self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Answered => &self.answered,
            RequestOutcome::BackendError => &self.backend_error,
            RequestOutcome::NotRun => &self.not_run,
            RequestOutcome::Unknown => &self.unknown,
        }
        .inc();
    }

    /// Counts a request refused although its organisation was within its rate.
    pub fn count_refused_within_rate(&self) {
        self.within_rate.inc();
    }
}

fn added_buckets() -> Histogram {
    // 0.1 ms to 0.8 s; 1.8 ms, the target of the 99th percentile, is a bound of its own.
    let doubled = exponential_buckets(0.0001, 2.0, 14);
    let mut bounds: Vec<f64> = doubled.chain([0.0018]).collect();
    bounds.sort_by(f64::total_cmp);
    Histogram::new(bounds)
}

fn took_buckets() -> Histogram {
    // 1 ms to 65 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

fn detection_buckets() -> Histogram {
    Histogram::new([0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 7.5, 10.0, 20.0, 60.0])
}

fn name(reason: EjectReason) -> &'static str {
    match reason {
        EjectReason::Stalled => "stalled",
        EjectReason::Slow => "slow",
        EjectReason::Failing => "failing",
    }
}

fn yes(truth: bool) -> &'static str {
    if truth { "yes" } else { "no" }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics {
            registry: Registry::with_prefix("papayareel"),
            requests: Family::default(),
            refusals: Family::default(),
            refused_within_rate: Family::default(),
            took: Family::new_with_constructor(took_buckets),
            added: Family::new_with_constructor(added_buckets),
            detection: Family::new_with_constructor(detection_buckets),
            suspicions: Family::default(),
            ejections: Family::default(),
            restorations: Counter::default(),
            false_ejections: Counter::default(),
            served: Family::default(),
            due: Family::default(),
            version: Gauge::default(),
            age: Seconds::default(),
            peers: Family::default(),
            units: Family::default(),
            store: Family::default(),
        }
        .register()
    }
}

impl Metrics {
    /// Metrics that are all zero.
    pub fn new() -> Self {
        Self::default()
    }

    fn register(mut self) -> Self {
        let r = &mut self.registry;
        r.register("requests", "Requests by service and outcome", self.requests.clone());
        r.register("refusals", "Answers that the fleet made, by kind", self.refusals.clone());
        r.register(
            "refused_within_rate",
            "Requests refused although within their organisation's rate, by service",
            self.refused_within_rate.clone(),
        );
        let help = "Time from the head of a request to the head of its response";
        r.register_with_unit("request", help, Unit::Seconds, self.took.clone());
        let help = "That time without the attempt that answered";
        r.register_with_unit("added", help, Unit::Seconds, self.added.clone());
        let help = "Age of the oldest evidence when a backend server became suspect or ejected";
        r.register_with_unit("detection", help, Unit::Seconds, self.detection.clone());
        r.register("suspicions", "Suspicions by reason", self.suspicions.clone());
        r.register("ejections", "Ejections by reason", self.ejections.clone());
        let help = "Backend servers that take trials or work again";
        r.register("restorations", help, self.restorations.clone());
        let help = "Ejections that trials showed to be false";
        r.register("false_ejections", help, self.false_ejections.clone());
        let help = "Slot time used in the last interval by the top and worst-served organisations";
        r.register_with_unit("share_served", help, Unit::Seconds, self.served.clone());
        let help = "Max-min share in the last interval of the same organisations";
        r.register_with_unit("share_due", help, Unit::Seconds, self.due.clone());
        r.register("config_version", "Version of the configuration", self.version.clone());
        let help = "Time since the configuration was known to be the newest";
        r.register_with_unit("config_age", help, Unit::Seconds, self.age.clone());
        r.register("peers", "Other VMs by state", self.peers.clone());
        r.register("units", "Units of rights that this VM holds, by kind", self.units.clone());
        r.register("store_calls", "Calls to the platform by result", self.store.clone());
        self
    }

    /// Counters of a service. Call it for services of the configuration only.
    pub fn service(&self, service: &str) -> ServiceMetrics {
        let counter = |outcome| {
            self.requests.get_or_create_owned(&RequestLabels { service: service.into(), outcome })
        };
        let labels = ServiceLabels { service: service.into() };
        ServiceMetrics {
            answered: counter(RequestOutcome::Answered),
            backend_error: counter(RequestOutcome::BackendError),
            not_run: counter(RequestOutcome::NotRun),
            unknown: counter(RequestOutcome::Unknown),
            within_rate: self.refused_within_rate.get_or_create_owned(&labels),
        }
    }

    /// Removes the counters of a service that the configuration no longer has.
    pub fn forget_service(&self, service: &str) {
        use RequestOutcome::{Answered, BackendError, NotRun, Unknown};
        for outcome in [Answered, BackendError, NotRun, Unknown] {
            self.requests.remove(&RequestLabels { service: service.into(), outcome });
        }
        self.refused_within_rate.remove(&ServiceLabels { service: service.into() });
    }

    /// Counts an answer that the fleet made.
    pub fn count_refusal(&self, kind: RefusalKind) {
        self.refusals.get_or_create(&KindLabels { kind: kind.as_str() }).inc();
    }

    /// Records the time from the head of a request to the head of its response. `forwarded` tells
    /// whether another VM forwarded the request.
    pub fn record_took(&self, took: Duration, forwarded: bool) {
        let labels = ForwardLabels { forwarded: yes(forwarded) };
        self.took.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Records the time that the fleet added to a request.
    pub fn record_added(&self, added: Duration, forwarded: bool) {
        let labels = ForwardLabels { forwarded: yes(forwarded) };
        self.added.get_or_create(&labels).observe(added.as_secs_f64());
    }

    /// Counts a backend server that became suspect, with the age of the oldest evidence.
    pub fn count_suspicion(&self, why: EjectReason, after: Duration) {
        self.suspicions.get_or_create(&ReasonLabels { reason: name(why) }).inc();
        let labels = DetectionLabels { stage: "suspected", reason: name(why) };
        self.detection.get_or_create(&labels).observe(after.as_secs_f64());
    }

    /// Counts an ejection, with the age of the oldest evidence.
    pub fn count_ejection(&self, why: EjectReason, after: Duration) {
        self.ejections.get_or_create(&ReasonLabels { reason: name(why) }).inc();
        let labels = DetectionLabels { stage: "ejected", reason: name(why) };
        self.detection.get_or_create(&labels).observe(after.as_secs_f64());
    }

    /// Counts a backend server that takes trials or work again.
    pub fn count_restoration(&self) {
        self.restorations.inc();
    }

    /// Counts an ejection that trials showed to be false.
    pub fn count_false_ejection(&self) {
        self.false_ejections.inc();
    }

    /// Shows the service of the last interval to the top and the worst-served organisations.
    pub fn set_shares(&self, shares: &[OrganisationShare]) {
        self.served.clear();
        self.due.clear();
        for share in select_shares(shares, TOP_SHARES, WORST_SHARES) {
            let labels = OrganisationLabels { organisation: share.organisation.into() };
            self.served.get_or_create(&labels).set(share.served);
            self.due.get_or_create(&labels).set(share.due);
        }
    }

    /// Sets the version of the configuration that is in effect.
    pub fn set_version(&self, version: ConfigVersion) {
        self.version.set(version);
    }

    /// Sets the time since the configuration was known to be the newest.
    pub fn set_age(&self, age: Duration) {
        self.age.set(age.as_secs_f64());
    }

    /// Sets the number of units that this VM holds of all rights of a kind.
    pub fn set_units(&self, kind: &'static str, units: u64) {
        self.units.get_or_create(&KindLabels { kind }).set(units);
    }

    /// Sets the number of other VMs in a state.
    pub fn set_peers(&self, state: PeerState, peers: usize) {
        let peers = i64::try_from(peers).unwrap_or(i64::MAX);
        self.peers.get_or_create(&PeerLabels { state }).set(peers);
    }

    /// Counts a call to the platform.
    pub fn count_store_call(&self, call: StoreCall, result: StoreResult) {
        self.store.get_or_create(&StoreLabels { call, result }).inc();
    }

    /// All metrics in the text format of OpenMetrics.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
