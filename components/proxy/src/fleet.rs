use std::sync::Arc;

use config::Lookup;
use futures::future::BoxFuture;
use kernel::prelude::*;
use kernel::{Admission, EjectReason, VmEntry};
use retry::{ClaimResult, CrashMessage};

use crate::record::RequestRecord;
use crate::scheduler::SchedulerOptions;

/// What the request path needs from the rest of the VM.
pub trait Fleet: Send + Sync {
    /// Time since the start of the process.
    fn now(&self) -> Uptime;

    /// This VM.
    fn this_vm(&self) -> &VmEntry;

    /// The configuration in force on this VM.
    fn lookup(&self) -> Arc<Lookup>;

    /// VMs that may be the home of the service in a region, best first.
    fn homes(&self, service: &str, region: &str) -> Vec<VmEntry>;

    /// Homes of a service in all regions; the first is the arbiter of its crash guard.
    fn service_homes(&self, service: &str) -> Vec<Incarnation>;

    /// Sends a message to the crash guard of the service on another home.
    fn send_crash_message(&self, to: Incarnation, service: &str, message: CrashMessage);

    /// Asks other VMs whether they reach a backend server that this VM cannot reach.
    fn query_reachability(&self, service: &str, backend: &str);

    /// Home in another region with free slots for the service, if the budget of the link between
    /// the regions allows `bytes` and the expected response.
    fn find_overflow_vm(&self, service: &str, weight: f64, bytes: usize) -> Option<VmEntry>;

    /// Corrects the budget of the link between regions by the actual length of a response.
    fn settle_link_budget(&self, service: &str, bytes: u64);

    /// The VM with this incarnation, if it is considered alive.
    fn find_vm(&self, incarnation: Incarnation) -> Option<VmEntry>;

    /// Last known uptime of a VM, for prefixes of idempotency keys.
    fn vm_uptime(&self, incarnation: Incarnation) -> Option<Uptime>;

    /// Returns a refusal if this VM cannot tell whether its configuration is the newest.
    fn check_config_freshness(&self) -> Result<(), Refusal>;

    /// Whether this VM is shutting down.
    fn is_stopping(&self) -> bool;

    /// Asks the limiter to admit one request.
    fn admit(&self, organisation: &str) -> Admission;

    /// Claims a caller-generated idempotency key in the store for this attempt.
    fn claim_key<'a>(
        &'a self,
        organisation: &'a str,
        key: &'a str,
        attempt: u64,
    ) -> BoxFuture<'a, ClaimResult>;

    /// Builds the detector, balancer and queue with which this VM schedules a service.
    fn scheduler_options(&self, service: &str) -> Result<SchedulerOptions, Refusal>;

    /// Returns a number of the VM's random number generator.
    fn random(&self) -> u64;

    /// Records a finished request.
    fn record_request(&self, record: &RequestRecord);

    /// Records for how long a request of the organisation used a slot of the service.
    fn record_usage(&self, _service: &str, _organisation: &str, _slot_time: Duration) {}

    /// Records that a backend server was suspected.
    fn record_suspicion(
        &self,
        service: &str,
        backend: &str,
        reason: EjectReason,
        evidence_age: Duration,
    );

    /// Records that a backend server was ejected.
    fn record_ejection(
        &self,
        service: &str,
        backend: &str,
        reason: EjectReason,
        evidence_age: Duration,
    );

    /// Records that a backend server is no longer ejected and whether its ejection was a false
    /// positive.
    fn record_restoration(&self, service: &str, backend: &str, false_positive: bool);
}
