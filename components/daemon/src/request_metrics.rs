use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use config::FleetConfig;
use kernel::prelude::*;
use proxy::RequestRecord;
use telemetry::{Metrics, ServiceMetrics, SlotTimes};

/// Metrics of the request path.
pub struct RequestMetrics {
    /// The metrics of this VM.
    pub metrics: Arc<Metrics>,
    /// Slot time by service and organisation.
    pub slots: SlotTimes,
    /// Counters by service, cached so that a request takes no lock.
    services: ArcSwap<HashMap<ServiceId, ServiceMetrics>>,
}

/// Whether refusals of this kind happen after the request has spent a token, which means that it
/// was within its organisation's rate.
fn is_within_rate(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::Overloaded
            | RefusalKind::NoBackend
            | RefusalKind::BackendFailed
            | RefusalKind::BackendTimeout
    )
}

impl RequestMetrics {
    /// Creates request metrics that update `metrics`.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        RequestMetrics { metrics, slots: SlotTimes::default(), services: ArcSwap::default() }
    }

    /// Updates the set of services from the configuration in force.
    pub fn set_services(&self, config: &FleetConfig) {
        let old = self.services.load_full();
        for id in old.keys().filter(|id| !config.services.contains_key(*id)) {
            self.metrics.remove_service(id);
        }
        let counters =
            |id: &ServiceId| old.get(id).cloned().unwrap_or_else(|| self.metrics.service(id));
        let services = config.services.keys().map(|id| (id.clone(), counters(id))).collect();
        self.services.store(Arc::new(services));
        self.metrics.set_config_version(config.version);
    }

    /// Ends an interval of the organisations' shares and exports its values.
    pub fn end_interval(&self, config: &FleetConfig) {
        let weight = |id: &str| config.organisations.get(id).map_or(1.0, |o| o.weight);
        self.metrics.set_shares(&self.slots.end_interval(weight));
    }

    /// Records a finished request. The outcome is counted by the VM that received it from the
    /// caller, a refusal by the VM that refused it.
    pub fn record(&self, record: &RequestRecord) {
        let services = self.services.load();
        let service = services.get(&record.service);
        if let Some(service) = service {
            if !record.forwarded {
                service.count_request(record.outcome);
            }
            self.metrics.record_response_time(record.response_time, record.forwarded);
            if let Some(attempt) = record.attempt_time {
                self.metrics.record_added_latency(
                    record.response_time.saturating_sub(attempt),
                    record.forwarded,
                );
            }
        }
        let Some(kind) = record.refusal else { return };
        self.metrics.count_refusal(kind);
        if record.organisation.is_empty() {
            if kind == RefusalKind::KeyWithdrawn {
                telemetry::event!(WITHDRAWN_KEY_USED);
            }
            return;
        }
        if is_within_rate(kind)
            && let Some(service) = service
        {
            service.count_refused_within_rate();
        }
        if matches!(kind, RefusalKind::Overloaded | RefusalKind::DeadlinePassed) {
            self.slots.record_refused(&record.service, &record.organisation);
        }
    }
}
