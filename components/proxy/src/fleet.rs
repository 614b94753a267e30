use std::sync::Arc;

use config::Lookup;
use futures::future::BoxFuture;
use kernel::prelude::*;
use kernel::{Admission, EjectReason, VmEntry};
use retry::{ClaimResult, CrashMessage};

use crate::home::HomeOptions;
use crate::record::RequestRecord;

/// What the request path needs to know of the rest of the VM.
pub trait Fleet: Send + Sync {
    /// Time since the start of the process.
    fn now(&self) -> Uptime;

    /// This VM.
    fn me(&self) -> &VmEntry;

    /// The configuration in force on this VM.
    fn lookup(&self) -> Arc<Lookup>;

    /// VMs that may be home of the service in a region, best first.
    fn homes(&self, service: &str, region: &str) -> Vec<VmEntry>;

    /// Homes of a service in all regions, the arbiter of its crash guard first.
    fn service_homes(&self, service: &str) -> Vec<Incarnation>;

    /// Sends a message to the crash guard of another home.
    fn send_crash(&self, to: Incarnation, service: &str, message: CrashMessage);

    /// Asks other VMs whether they reach a backend server that this one does not.
    fn ask_reach(&self, service: &str, backend: &str);

    /// Home in another region that has free slots for the service, if the budget of the link
    /// between the regions allows `bytes` and the expected response.
    fn spill(&self, service: &str, weight: f64, bytes: usize) -> Option<VmEntry>;

    /// Corrects the budget of the link by the true length of a response.
    fn settle_link(&self, service: &str, bytes: u64);

    /// The VM with this incarnation, if it is believed alive.
    fn vm(&self, incarnation: Incarnation) -> Option<VmEntry>;

    /// Uptime of a VM as last heard of, for idempotency prefixes.
    fn uptime_of(&self, incarnation: Incarnation) -> Option<Uptime>;

    /// Refuses if this VM cannot tell whether its configuration is the newest.
    fn check_fresh(&self) -> Result<(), Refusal>;

    /// Whether this VM has begun to stop.
    fn stopping(&self) -> bool;

    /// Asks the limiter to admit one request.
    fn admit(&self, organisation: &str) -> Admission;

    /// Claims a caller-made idempotency key in the table for this attempt.
    fn claim<'a>(
        &'a self,
        organisation: &'a str,
        key: &'a str,
        attempt: u64,
    ) -> BoxFuture<'a, ClaimResult>;

    /// Builds the decisions of a service for this VM as its home.
    fn open_home(&self, service: &str) -> Result<HomeOptions, Refusal>;

    /// A random number from the VM's generator.
    fn random(&self) -> u64;

    /// Records a finished request.
    fn record(&self, record: &RequestRecord);

    /// Records that a request of the organisation used a slot of the service.
    fn used(&self, _service: &str, _organisation: &str, _used: Duration) {}

    /// Records that a backend server was suspected.
    fn suspected(&self, service: &str, backend: &str, reason: EjectReason, after: Duration);

    /// Records that a backend server was ejected.
    fn ejected(&self, service: &str, backend: &str, reason: EjectReason, after: Duration);

    /// Records that a backend server takes work again.
    fn restored(&self, service: &str, backend: &str, falsely: bool);
}
