use std::sync::Arc;

use config::{ChangeError, ChangeSet, Committed, FleetConfig, StoreError};
use futures::future::{BoxFuture, join_all};
use kernel::VmState;
use kernel::prelude::*;
use operator::{
    Applied, Backend, Ejection, ExplainQuery, Explanation, OperatorError, Status, StatusQuery,
    VmLife, VmStatus,
};
use peers::VmReport;

use crate::shared::Shared;

/// Serves operators.
pub struct OperatorBackend(pub Arc<Shared>);

impl Shared {
    /// State of this VM for another one.
    pub async fn report(self: &Arc<Self>) -> VmReport {
        let held = self.holder.lock().await.held();
        VmReport {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            place: self.me.place.clone(),
            version: self.version(),
            fresh_ms: u64::try_from(self.staleness(self.now()).as_millis()).unwrap_or(u64::MAX),
            ejected: self.ejections(),
            units: held.into_iter().map(|(kind, id, held)| (kind, id, held.units)).collect(),
        }
    }

    async fn apply(self: &Arc<Self>, set: ChangeSet) -> Result<Applied, OperatorError> {
        if !self.hears_majority() {
            telemetry::event!(CHANGE_WITHOUT_MAJORITY);
            return Err(OperatorError::Unavailable(
                "this VM hears no majority of the fleet, so that the change could not be in force \
                 everywhere; use another VM or repair the network"
                    .into(),
            ));
        }
        let held = Arc::clone(&self.lookup.load().config);
        let committed = self.store.commit(&held, &set).await.inspect_err(note_refused);
        match committed? {
            Committed::Before { version } => Ok(Applied { version, repeated: true }),
            Committed::Now { config, delta, snapshot_due } => {
                let version = config.version;
                if snapshot_due {
                    self.write_snapshot(config.clone());
                }
                {
                    let _guard = self.install.lock().await;
                    self.install(config, vec![delta]);
                }
                telemetry::event!(CHANGE_ACCEPTED, version = version);
                self.announce_version();
                Ok(Applied { version, repeated: false })
            }
        }
    }

    fn write_snapshot(self: &Arc<Self>, config: FleetConfig) {
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(error) = store.write_snapshot(&config).await {
                telemetry::event!(
                    SNAPSHOT_UNWRITTEN,
                    version = config.version,
                    error = error.to_string()
                );
            }
        });
    }

    async fn status(self: &Arc<Self>) -> Status {
        let view = self.view.load_full();
        let others = view.vms.iter().filter(|vm| vm.incarnation != self.me.incarnation);
        let asked = others.map(|vm| async move { (vm.clone(), self.peers.report(vm.peers).await) });
        let mut reports = join_all(asked).await;
        reports.push((self.me.clone(), Ok(self.report().await)));
        let reported = reports.iter().filter_map(|(_, report)| report.as_ref().ok());
        let ejections = reported
            .flat_map(|report| {
                report.ejected.iter().map(|ejected| Ejection {
                    service: ejected.service.clone(),
                    backend: ejected.backend.clone(),
                    reason: ejected.reason,
                    since: Duration::from_millis(ejected.since_ms),
                    vm: report.vm.clone(),
                })
            })
            .collect();
        let mut vms: Vec<VmStatus> = reports
            .into_iter()
            .map(|(vm, report)| {
                let life = match (&report, vm.state) {
                    (Err(_), _) => VmLife::Silent,
                    (Ok(_), VmState::Live) => VmLife::Live,
                    (Ok(_), VmState::Leaving) => VmLife::Leaving,
                };
                let report = report.ok();
                VmStatus {
                    vm: vm.vm,
                    place: vm.place,
                    incarnation: vm.incarnation,
                    life,
                    version: report.as_ref().map_or(0, |r| r.version),
                    freshness: report.as_ref().map(|r| Duration::from_millis(r.fresh_ms)),
                }
            })
            .collect();
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        Status {
            vm: self.me.vm.clone(),
            version: self.version(),
            store_reachable: !self.flags.store_away(),
            vms,
            ejections,
            rates: Vec::new(),
        }
    }
}

/// Logs a change that another one came before, or whose outcome is not known.
fn note_refused(error: &StoreError) {
    match error {
        StoreError::Change(ChangeError::Conflict { base, current }) => {
            telemetry::event!(CHANGE_CONFLICT, base = base, version = current);
        }
        StoreError::Uncertain { change_id, .. } => {
            telemetry::event!(CHANGE_UNCERTAIN, change = change_id);
        }
        _ => {}
    }
}

impl Backend for OperatorBackend {
    fn apply(&self, set: ChangeSet) -> BoxFuture<'_, Result<Applied, OperatorError>> {
        Box::pin(self.0.apply(set))
    }

    fn config(&self) -> BoxFuture<'_, Result<Arc<FleetConfig>, OperatorError>> {
        let config = Arc::clone(&self.0.lookup.load().config);
        Box::pin(async move { Ok(config) })
    }

    fn status(&self, _query: StatusQuery) -> BoxFuture<'_, Result<Status, OperatorError>> {
        Box::pin(async move { Ok(self.0.status().await) })
    }

    fn explain(&self, _query: ExplainQuery) -> BoxFuture<'_, Result<Explanation, OperatorError>> {
        let error = OperatorError::NotFound("this VM has not seen the request; ask another".into());
        Box::pin(async move { Err(error) })
    }
}
