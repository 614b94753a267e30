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

/// Number of organisations shown with the largest fair shares.
const TOP_ORGANISATIONS: usize = 10;
/// Number of other organisations shown, those with the lowest served ratio.
const WORST_ORGANISATIONS: usize = 5;

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
    response_time: Histograms<ForwardLabels>,
    added_latency: Histograms<ForwardLabels>,
    detection: Histograms<DetectionLabels>,
    suspicions: Family<ReasonLabels, Counter>,
    ejections: Family<ReasonLabels, Counter>,
    restorations: Counter,
    false_ejections: Counter,
    served: Family<OrganisationLabels, Seconds>,
    fair_share: Family<OrganisationLabels, Seconds>,
    config_version: Gauge<u64, AtomicU64>,
    config_age: Seconds,
    peers: Family<PeerLabels, Gauge>,
    units: Family<KindLabels, Gauge<u64, AtomicU64>>,
    store_calls: Family<StoreLabels, Counter>,
}

/// Counters of one service, kept by the caller so that a request needs no lookup.
#[derive(Clone, Debug)]
pub struct ServiceMetrics {
    answered: Counter,
    backend_error: Counter,
    not_run: Counter,
    unknown: Counter,
    refused_within_rate: Counter,
}

impl ServiceMetrics {
    /// Counts a finished request.
    pub fn count_request(&self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Answered => &self.answered,
            RequestOutcome::BackendError => &self.backend_error,
            RequestOutcome::NotRun => &self.not_run,
            RequestOutcome::Unknown => &self.unknown,
        }
        .inc();
    }

    /// Counts a request that was refused although its organisation was within its rate.
    pub fn count_refused_within_rate(&self) {
        self.refused_within_rate.inc();
    }
}

fn added_latency_buckets() -> Histogram {
    // 0.1 ms to 0.8 s, with a bound at 1.8 ms, the target of the 99th percentile.
    let powers_of_two = exponential_buckets(0.0001, 2.0, 14);
    let mut bounds: Vec<f64> = powers_of_two.chain([0.0018]).collect();
    bounds.sort_by(f64::total_cmp);
    Histogram::new(bounds)
}

fn response_time_buckets() -> Histogram {
    // 1 ms to 65 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

fn detection_buckets() -> Histogram {
    Histogram::new([0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 7.5, 10.0, 20.0, 60.0])
}

fn reason_label(reason: EjectReason) -> &'static str {
    match reason {
        EjectReason::Stalled => "stalled",
        EjectReason::Slow => "slow",
        EjectReason::Failing => "failing",
    }
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics {
            registry: Registry::with_prefix("papayareel"),
            requests: Family::default(),
            refusals: Family::default(),
            refused_within_rate: Family::default(),
            response_time: Family::new_with_constructor(response_time_buckets),
            added_latency: Family::new_with_constructor(added_latency_buckets),
            detection: Family::new_with_constructor(detection_buckets),
            suspicions: Family::default(),
            ejections: Family::default(),
            restorations: Counter::default(),
            false_ejections: Counter::default(),
            served: Family::default(),
            fair_share: Family::default(),
            config_version: Gauge::default(),
            config_age: Seconds::default(),
            peers: Family::default(),
            units: Family::default(),
            store_calls: Family::default(),
        }
        .register()
    }
}

impl Metrics {
    /// Creates the metrics, all zero.
    pub fn new() -> Self {
        Self::default()
    }

    fn register(mut self) -> Self {
        let r = &mut self.registry;
        r.register("requests", "Requests by service and outcome", self.requests.clone());
        r.register(
            "refusals",
            "Responses that the fleet generated itself, by kind",
            self.refusals.clone(),
        );
        r.register(
            "refused_within_rate",
            "Requests refused although within their organisation's rate, by service",
            self.refused_within_rate.clone(),
        );
        let help = "Time from the head of a request to the head of its response";
        r.register_with_unit("request", help, Unit::Seconds, self.response_time.clone());
        let help = "Request time minus the time of the attempt that responded";
        r.register_with_unit("added", help, Unit::Seconds, self.added_latency.clone());
        let help = "Age of the oldest evidence when a backend server became suspect or ejected";
        r.register_with_unit("detection", help, Unit::Seconds, self.detection.clone());
        r.register("suspicions", "Suspicions by reason", self.suspicions.clone());
        r.register("ejections", "Ejections by reason", self.ejections.clone());
        let help = "Backend servers that receive trials or work again";
        r.register("restorations", help, self.restorations.clone());
        let help = "Ejections that trials showed to be false";
        r.register("false_ejections", help, self.false_ejections.clone());
        let help = "Slot time used in the last interval by the top and worst-served organisations";
        r.register_with_unit("share_served", help, Unit::Seconds, self.served.clone());
        let help = "Max-min share in the last interval of the same organisations";
        r.register_with_unit("share_due", help, Unit::Seconds, self.fair_share.clone());
        r.register("config_version", "Version of the configuration", self.config_version.clone());
        let help = "Time since the configuration was last confirmed as the newest";
        r.register_with_unit("config_age", help, Unit::Seconds, self.config_age.clone());
        r.register("peers", "Other VMs by state", self.peers.clone());
        r.register("units", "Units of rights that this VM holds, by kind", self.units.clone());
        r.register("store_calls", "Calls to the platform by result", self.store_calls.clone());
        self
    }

    /// Returns the counters of a service. To bound the number of label values, `service` must be in
    /// the configuration.
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
            refused_within_rate: self.refused_within_rate.get_or_create_owned(&labels),
        }
    }

    /// Removes the counters of a service that the configuration no longer has.
    pub fn remove_service(&self, service: &str) {
        use RequestOutcome::{Answered, BackendError, NotRun, Unknown};
        for outcome in [Answered, BackendError, NotRun, Unknown] {
            self.requests.remove(&RequestLabels { service: service.into(), outcome });
        }
        self.refused_within_rate.remove(&ServiceLabels { service: service.into() });
    }

    /// Counts a response that the fleet generated itself.
    pub fn count_refusal(&self, kind: RefusalKind) {
        self.refusals.get_or_create(&KindLabels { kind: kind.as_str() }).inc();
    }

    /// Records the time from the head of a request to the head of its response. `forwarded` states
    /// whether another VM forwarded the request.
    pub fn record_response_time(&self, response_time: Duration, forwarded: bool) {
        let labels = ForwardLabels { forwarded: yes_or_no(forwarded) };
        self.response_time.get_or_create(&labels).observe(response_time.as_secs_f64());
    }

    /// Records the latency that the fleet added to a request.
    pub fn record_added_latency(&self, added_latency: Duration, forwarded: bool) {
        let labels = ForwardLabels { forwarded: yes_or_no(forwarded) };
        self.added_latency.get_or_create(&labels).observe(added_latency.as_secs_f64());
    }

    /// Counts a backend server that became suspect, and records the age of the oldest evidence.
    pub fn count_suspicion(&self, reason: EjectReason, evidence_age: Duration) {
        self.suspicions.get_or_create(&ReasonLabels { reason: reason_label(reason) }).inc();
        let labels = DetectionLabels { stage: "suspected", reason: reason_label(reason) };
        self.detection.get_or_create(&labels).observe(evidence_age.as_secs_f64());
    }

    /// Counts an ejection, and records the age of the oldest evidence.
    pub fn count_ejection(&self, reason: EjectReason, evidence_age: Duration) {
        self.ejections.get_or_create(&ReasonLabels { reason: reason_label(reason) }).inc();
        let labels = DetectionLabels { stage: "ejected", reason: reason_label(reason) };
        self.detection.get_or_create(&labels).observe(evidence_age.as_secs_f64());
    }

    /// Counts a backend server that receives trials or work again.
    pub fn count_restoration(&self) {
        self.restorations.inc();
    }

    /// Counts an ejection that trials showed to be false.
    pub fn count_false_ejection(&self) {
        self.false_ejections.inc();
    }

    /// Sets the shares of the last interval of the top and the worst-served organisations.
    pub fn set_shares(&self, shares: &[OrganisationShare]) {
        self.served.clear();
        self.fair_share.clear();
        for share in select_shares(shares, TOP_ORGANISATIONS, WORST_ORGANISATIONS) {
            let labels = OrganisationLabels { organisation: share.organisation.into() };
            self.served.get_or_create(&labels).set(share.served_s);
            self.fair_share.get_or_create(&labels).set(share.fair_s);
        }
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.config_version.set(version);
    }

    /// Sets the time since the configuration was last confirmed as the newest.
    pub fn set_config_age(&self, age: Duration) {
        self.config_age.set(age.as_secs_f64());
    }

    /// Sets the number of units that this VM holds, over all rights of a kind.
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
        self.store_calls.get_or_create(&StoreLabels { call, result }).inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
