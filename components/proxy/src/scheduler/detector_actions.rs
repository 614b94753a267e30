use std::sync::Arc;

use kernel::{BackendEvent, DetectorAction};

use super::ServiceScheduler;

impl ServiceScheduler {
    /// Carries out an action of the detector.
    pub(super) fn apply(self: &Arc<Self>, action: DetectorAction) {
        let service = &*self.service;
        match action {
            DetectorAction::Suspected { backend, reason, evidence_age } => {
                self.fleet.record_suspicion(service, &backend, reason, evidence_age);
            }
            DetectorAction::Ejected { backend, reason, evidence_age } => {
                self.fleet.record_ejection(service, &backend, reason, evidence_age);
            }
            DetectorAction::Restored { backend, false_positive } => {
                self.fleet.record_restoration(service, &backend, false_positive);
            }
            DetectorAction::DropConnection { attempt, backend } => {
                telemetry::event!(CONNECTION_SILENT, service = service, backend = backend);
                if let Some(cancel) = self.lock().attempts.get(&attempt) {
                    cancel.cancel();
                }
            }
            DetectorAction::Probe { backend } => {
                let pool = self.lock().pools.get(&backend).cloned();
                if let Some(pool) = pool {
                    let scheduler = Arc::clone(self);
                    tokio::spawn(async move {
                        let (healthy, took) = crate::attempt::probe(&pool).await;
                        if !healthy {
                            // If other VMs reach it, the network path from this VM is broken.
                            scheduler.fleet.query_reachability(&scheduler.service, &backend);
                        }
                        scheduler.observe(&BackendEvent::Probed { backend, healthy, took });
                    });
                }
            }
        }
    }
}
