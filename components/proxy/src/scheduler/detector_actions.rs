use std::sync::Arc;

use kernel::{BackendEvent, DetectorAction};

use super::ServiceScheduler;

impl ServiceScheduler {
    /// Does what the detector wants done.
    pub(super) fn act(self: &Arc<Self>, action: DetectorAction) {
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
                if let Some(silent) = self.lock().attempts.get(&attempt) {
                    silent.cancel();
                }
            }
            DetectorAction::Probe { backend } => {
                let pool = self.lock().pools.get(&backend).cloned();
                if let Some(pool) = pool {
                    let home = Arc::clone(self);
                    tokio::spawn(async move {
                        let (healthy, took) = crate::attempt::probe(&pool).await;
                        if !healthy {
                            // If others reach it, the way from this VM is broken.
                            home.fleet.query_reachability(&home.service, &backend);
                        }
                        home.observe(&BackendEvent::Probed { backend, healthy, took });
                    });
                }
            }
        }
    }
}
