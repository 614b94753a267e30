use std::sync::Arc;

use ::rights::{HeldUnits, HolderEntry, RightRow, right_key};
use config::{ChangeError, ChangeSet, CommitOutcome, ConfigStoreError, FleetConfig};
use futures::future::{BoxFuture, join_all, try_join_all};
use kernel::prelude::*;
use kernel::{VmEntry, VmState};
use operator::{
    Applied, Ejection, ExplainQuery, Explanation, FieldError, OperatorError, OperatorHandler,
    RateShare, RateShares, Status, StatusQuery, VmLiveness, VmStatus,
};
use peers::VmReport;

use crate::rights::RATE;
use crate::shared::Shared;
use crate::view::View;

/// Serves the operator API.
pub struct OperatorBackend(pub Arc<Shared>);

/// Timeout for the lock of the holder, which is held during writes to the store. It is below the
/// timeout of calls between VMs, so that a slow store does not make a VM look silent.
const HOLDER_LOCK_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for the store in a status request, so that a status is shown while the store is slow.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of organisations whose rate shares are read at once: 3% of the reads that the
/// store can take per second.
const MAX_QUERIED_RATES: usize = 64;

impl Shared {
    /// Returns the rights that this VM holds, with kind and name, or `None` if a write to the store
    /// keeps the holder locked for longer than [`HOLDER_LOCK_TIMEOUT`].
    pub async fn held_units(&self) -> Option<Vec<(Box<str>, Box<str>, HeldUnits)>> {
        let holder = tokio::time::timeout(HOLDER_LOCK_TIMEOUT, self.holder.lock()).await.ok()?;
        Some(holder.held())
    }

    /// Reports the state of this VM to another one.
    pub async fn report(self: &Arc<Self>) -> VmReport {
        let held = self.held_units().await.unwrap_or_default();
        VmReport {
            vm: self.this_vm.vm.clone(),
            incarnation: self.this_vm.incarnation,
            place: self.this_vm.place.clone(),
            version: self.config_version(),
            fresh_ms: u64::try_from(self.staleness(self.now()).as_millis()).unwrap_or(u64::MAX),
            ejected: self.ejections(),
            units: held.into_iter().map(|(kind, id, held)| (kind, id, held.units)).collect(),
        }
    }

    async fn apply(self: &Arc<Self>, set: ChangeSet) -> Result<Applied, OperatorError> {
        if !self.has_majority() {
            telemetry::event!(CHANGE_WITHOUT_MAJORITY);
            return Err(OperatorError::Unavailable(
                "this VM has no contact with a majority of the fleet, so the change might not come \
                 into force everywhere; use another VM or repair the network"
                    .into(),
            ));
        }
        let local = Arc::clone(&self.lookup.load().config);
        let committed = self.store.commit(&local, &set).await.inspect_err(log_rejected_change);
        match committed? {
            CommitOutcome::AlreadyApplied { version } => Ok(Applied { version, repeated: true }),
            CommitOutcome::Applied { config, delta, snapshot_due } => {
                let version = config.version;
                if snapshot_due {
                    self.write_snapshot(config.clone());
                }
                {
                    let _guard = self.install_lock.lock().await;
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

    async fn status(self: &Arc<Self>, query: &StatusQuery) -> Result<Status, OperatorError> {
        let rates = self.rate_shares(&query.organisations).await?;
        let view = self.view.load_full();
        let others = view.vms.iter().filter(|vm| vm.incarnation != self.this_vm.incarnation);
        let asked = others.map(|vm| async move { (vm.clone(), self.peers.report(vm.peers).await) });
        let mut reports = join_all(asked).await;
        reports.push((self.this_vm.clone(), Ok(self.report().await)));
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
                let liveness = match (&report, vm.state) {
                    (Err(_), _) => VmLiveness::Silent,
                    (Ok(_), VmState::Live) => VmLiveness::Live,
                    (Ok(_), VmState::Leaving) => VmLiveness::Leaving,
                };
                let report = report.ok();
                VmStatus {
                    vm: vm.vm,
                    place: vm.place,
                    incarnation: vm.incarnation,
                    liveness,
                    version: report.as_ref().map_or(0, |r| r.version),
                    freshness: report.as_ref().map(|r| Duration::from_millis(r.fresh_ms)),
                }
            })
            .collect();
        vms.extend(self.silent_vms(&view).await);
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        Ok(Status {
            vm: self.this_vm.vm.clone(),
            version: self.config_version(),
            store_reachable: !self.flags.store_unreachable(),
            vms,
            ejections,
            rates,
        })
    }

    /// Returns the VMs that the platform lists as live but this VM counts as dead. They may be
    /// paused or partitioned, and an operator who waits for a version must know of them.
    async fn silent_vms(&self, view: &View) -> Vec<VmStatus> {
        let list = tokio::time::timeout(STORE_TIMEOUT, self.platform.vms.list()).await;
        let Ok(Ok(mut list)) = list else { return Vec::new() };
        // Of a VM that was restarted under the same name, only the new incarnation is shown.
        list.retain(|listed| {
            listed.state == VmState::Live && view.vms.iter().all(|vm| vm.vm != listed.vm)
        });
        let silent = |vm: VmEntry| VmStatus {
            vm: vm.vm,
            place: vm.place,
            incarnation: vm.incarnation,
            liveness: VmLiveness::Silent,
            version: 0,
            freshness: None,
        };
        list.into_iter().map(silent).collect()
    }

    /// Returns which VMs hold the rates of these organisations. If none are given, returns the
    /// rates that this VM holds.
    async fn rate_shares(
        &self,
        organisations: &[OrganisationId],
    ) -> Result<Vec<RateShares>, OperatorError> {
        if organisations.is_empty() {
            let held = self.held_units().await.unwrap_or_default();
            let own = held.into_iter().filter(|(kind, _, held)| &**kind == RATE && held.units > 0);
            return Ok(own
                .map(|(_, organisation, held)| {
                    let entry = HolderEntry { holder: self.this_vm.incarnation, units: held.units };
                    let shares = vec![self.rate_share(entry)];
                    RateShares { organisation, total: held.total, shares }
                })
                .collect());
        }
        if organisations.len() > MAX_QUERIED_RATES {
            let message =
                format!("more than {MAX_QUERIED_RATES} organisations; ask for fewer at a time");
            let (path, message) = ("organisations".into(), message.into());
            return Err(OperatorError::Invalid(vec![FieldError { path, message }]));
        }
        try_join_all(organisations.iter().map(|id| self.read_rate_shares(id))).await
    }

    async fn read_rate_shares(
        &self,
        organisation: &OrganisationId,
    ) -> Result<RateShares, OperatorError> {
        let key = right_key(RATE, organisation);
        let read = tokio::time::timeout(STORE_TIMEOUT, self.platform.table.read(&key)).await;
        let Ok(Ok(row)) = read else {
            let text = "cannot read from the store who holds the rates; retry later, or leave out \
                        the organisations to see the rest of the status";
            return Err(OperatorError::Unavailable(text.into()));
        };
        let row = match row {
            // No unit has been claimed yet.
            None => RightRow::new(limiter::RATE_UNITS),
            Some(row) => serde_json::from_str(&row.value).map_err(|error| {
                let text = format!("row {key} cannot be read ({error}); repair the row");
                OperatorError::Internal(text.into())
            })?,
        };
        let shares = row.entries.into_iter().map(|entry| self.rate_share(entry)).collect();
        Ok(RateShares { organisation: organisation.clone(), total: row.total, shares })
    }

    fn rate_share(&self, HolderEntry { holder, units }: HolderEntry) -> RateShare {
        let vm = self.membership().find(holder).map(|entry| entry.vm.clone());
        RateShare { incarnation: holder, vm, units }
    }
}

/// Logs a change that conflicts with an earlier one or whose outcome is unknown.
fn log_rejected_change(error: &ConfigStoreError) {
    match error {
        ConfigStoreError::Change(ChangeError::Conflict { base, current }) => {
            telemetry::event!(CHANGE_CONFLICT, base = base, version = current);
        }
        ConfigStoreError::UnknownOutcome { change_id, .. } => {
            telemetry::event!(CHANGE_UNCERTAIN, change = change_id);
        }
        _ => {}
    }
}

impl OperatorHandler for OperatorBackend {
    fn apply(&self, set: ChangeSet) -> BoxFuture<'_, Result<Applied, OperatorError>> {
        Box::pin(self.0.apply(set))
    }

    fn config(&self) -> BoxFuture<'_, Result<Arc<FleetConfig>, OperatorError>> {
        let config = Arc::clone(&self.0.lookup.load().config);
        Box::pin(async move { Ok(config) })
    }

    fn status(&self, query: StatusQuery) -> BoxFuture<'_, Result<Status, OperatorError>> {
        Box::pin(async move { self.0.status(&query).await })
    }

    fn explain(&self, query: ExplainQuery) -> BoxFuture<'_, Result<Explanation, OperatorError>> {
        Box::pin(self.0.explain(query))
    }
}
