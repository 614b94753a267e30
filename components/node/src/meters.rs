use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use config::FleetConfig;
use kernel::prelude::*;
use proxy::RequestRecord;
use telemetry::{Metrics, ServiceMetrics};

use crate::shares::Shares;

/// Counts what the request path reports.
pub struct Meters {
    /// The metrics of this VM.
    pub metrics: Arc<Metrics>,
    /// Slot time by service and organisation.
    pub shares: Shares,
    /// Counters by service, so that a request takes no lock.
    services: ArcSwap<HashMap<ServiceId, ServiceMetrics>>,
}

/// Whether a refusal of this kind comes after the token of the request was spent, so that the
/// request is known to have been within its organisation's rate.
fn is_within_rate(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::Overloaded
            | RefusalKind::NoBackend
            | RefusalKind::BackendFailed
            | RefusalKind::BackendTimeout
    )
}

impl Meters {
    /// Meters that count into these metrics.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Meters { metrics, shares: Shares::default(), services: ArcSwap::default() }
    }

    /// Takes over the services of the configuration in force.
    pub fn set_services(&self, config: &FleetConfig) {
        let old = self.services.load_full();
        for id in old.keys().filter(|id| !config.services.contains_key(*id)) {
            self.metrics.forget_service(id);
        }
        let counters =
            |id: &ServiceId| old.get(id).cloned().unwrap_or_else(|| self.metrics.service(id));
        let services = config.services.keys().map(|id| (id.clone(), counters(id))).collect();
        self.services.store(Arc::new(services));
        self.metrics.set_version(config.version);
    }

    /// Counts a finished request. The VM that its caller asked counts its outcome; the VM that
    /// refused it counts the refusal.
    pub fn record(&self, record: &RequestRecord) {
        let services = self.services.load();
        let service = services.get(&record.service);
        if let Some(service) = service {
            if !record.forwarded {
                service.count_request(record.outcome);
            }
            self.metrics.record_took(record.took, record.forwarded);
            if let Some(attempt) = record.attempt {
                self.metrics.record_added(record.took.saturating_sub(attempt), record.forwarded);
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
            self.shares.refused(&record.service, &record.organisation);
        }
    }
}
