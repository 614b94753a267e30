use std::sync::Arc;

use config::Lookup;
use futures::future::BoxFuture;
use kernel::prelude::*;
use kernel::{
    Admission, EjectReason, ServiceContext, VmEntry, build_balancer, build_detector, build_queue,
};
use peers::Message;
use proxy::{Fleet, RequestRecord, SchedulerOptions};
use retry::{ClaimResult, CrashMessage};

use crate::shared::Shared;

/// How long a direct message from another VM counts as contact.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Gives the request path access to [`Shared`].
pub struct FleetAccess(pub Arc<Shared>);

impl Shared {
    /// Whether this VM has contact with at least half of the fleet, so that an unreachable table is
    /// taken as an outage of the store rather than of this VM's network.
    fn has_half(&self, now: Uptime) -> bool {
        let (heard, known) = self.membership().heard_within(now, CONTACT_WINDOW);
        heard * 2 >= known
    }

    /// Whether this VM has contact with more than half of the fleet. Every VM that serves then has
    /// contact with at least one VM that knows of a change accepted here.
    pub fn has_majority(&self) -> bool {
        let (heard, known) = self.membership().heard_within(self.now(), CONTACT_WINDOW);
        heard * 2 > known
    }

    /// Time since the version in force was last confirmed to be the newest.
    pub fn staleness(&self, now: Uptime) -> Duration {
        now.saturating_sub(self.flags.confirmed_at())
    }

    /// Returns a refusal if this VM cannot tell whether its configuration is the newest.
    pub fn check_freshness(&self) -> Result<(), Refusal> {
        let now = self.now();
        let fresh = self.settings.freshness.fresh_period;
        let age = self.staleness(now);
        let behind = self.flags.behind_since().is_some_and(|since| now >= since + fresh);
        if !behind
            && (age <= fresh || (age <= self.settings.freshness.max_stale && self.has_half(now)))
        {
            return Ok(());
        }
        let message = format!(
            "this VM has not confirmed its configuration for {} s; use another address of the \
             entry response",
            age.as_secs()
        );
        let refusal = Refusal::not_run(RefusalKind::StaleConfiguration, message);
        Err(refusal.retry_after(Duration::from_secs(1)))
    }
}

impl Fleet for FleetAccess {
    fn now(&self) -> Uptime {
        self.0.now()
    }

    fn this_vm(&self) -> &VmEntry {
        &self.0.this_vm
    }

    fn lookup(&self) -> Arc<Lookup> {
        self.0.lookup.load_full()
    }

    fn homes(&self, service: &str, region: &str) -> Vec<VmEntry> {
        self.0.view.load().homes(service, region)
    }

    fn service_homes(&self, service: &str) -> Vec<Incarnation> {
        self.0.view.load().service_homes(service)
    }

    fn send_crash_message(&self, to: Incarnation, service: &str, message: CrashMessage) {
        if let Some(vm) = self.0.view.load().vm(to) {
            self.0.send(vm.peers, vec![Message::Crash(service.into(), message)]);
        }
    }

    fn query_reachability(&self, service: &str, backend: &str) {
        let region = &self.0.this_vm.place.region;
        // The next VMs in the ranking know the service best. Two replies are enough to question
        // this VM's own result.
        let others = self.0.view.load().homes(service, region);
        let others = others.iter().filter(|vm| vm.incarnation != self.0.this_vm.incarnation);
        for vm in others.take(2) {
            let ask = Message::ReachabilityQuery(service.into(), backend.into());
            self.0.send(vm.peers, vec![ask]);
        }
    }

    fn find_overflow_vm(&self, service: &str, weight: f64, bytes: usize) -> Option<VmEntry> {
        let now = self.0.now();
        let view = self.0.view.load();
        let services = self.0.lookup.load().config.services.len();
        let free = self.0.overflow().choose_home(now, service, services, weight, bytes as u64)?;
        view.vm(free).cloned()
    }

    fn settle_link_budget(&self, service: &str, bytes: u64) {
        self.0.overflow().record_response(self.0.now(), service, bytes);
    }

    fn find_vm(&self, incarnation: Incarnation) -> Option<VmEntry> {
        self.0.membership().find(incarnation).cloned()
    }

    fn vm_uptime(&self, incarnation: Incarnation) -> Option<Uptime> {
        self.0.membership().uptime_of(self.0.now(), incarnation)
    }

    fn check_config_freshness(&self) -> Result<(), Refusal> {
        self.0.check_freshness()
    }

    fn is_stopping(&self) -> bool {
        self.0.flags.stopping()
    }

    fn admit(&self, organisation: &str) -> Admission {
        let now = self.0.now();
        let (admission, actions) = {
            let mut limiter = self.0.limiter_for(organisation);
            let admission = limiter.admit(now, organisation);
            // Messages are sent at once if a request waits for them, otherwise in the next tick.
            let wait = admission != Admission::Admitted;
            (admission, if wait { limiter.poll(now) } else { Vec::new() })
        };
        self.0.apply_limiter_actions(actions);
        admission
    }

    fn claim_key<'a>(
        &'a self,
        organisation: &'a str,
        key: &'a str,
        attempt: u64,
    ) -> BoxFuture<'a, ClaimResult> {
        Box::pin(self.0.claim_key(organisation, key, attempt))
    }

    fn scheduler_options(&self, service: &str) -> Result<SchedulerOptions, Refusal> {
        let lookup = self.0.lookup.load();
        let min_healthy = lookup.config.services.get(service).map_or(1.0, |s| s.min_healthy);
        let context = ServiceContext {
            service: service.into(),
            place: self.0.this_vm.place.clone(),
            vms: self.0.view.load().vms.len(),
            min_healthy,
        };
        let plugins = &self.0.settings.plugins;
        let to_refusal = |error: kernel::RegistryError| {
            Refusal::not_run(RefusalKind::NoBackend, error.to_string())
        };
        Ok(SchedulerOptions {
            detector: build_detector(&plugins.detector, &context).map_err(to_refusal)?,
            balancer: build_balancer(&plugins.balancer, &context).map_err(to_refusal)?,
            queue: build_queue(&plugins.queue, &context).map_err(to_refusal)?,
            seed: self.0.random.next(),
        })
    }

    fn random(&self) -> u64 {
        self.0.random.next()
    }

    fn record_request(&self, record: &RequestRecord) {
        self.0.request_metrics.record(record);
        self.0.recent_requests.add(self.0.now(), record);
    }

    fn record_usage(&self, service: &str, organisation: &str, used: Duration) {
        self.0.request_metrics.slots.record_used(service, organisation, used);
    }

    fn record_suspicion(&self, service: &str, backend: &str, reason: EjectReason, after: Duration) {
        self.0.request_metrics.metrics.count_suspicion(reason, after);
        let event = &telemetry::events::BACKEND_SUSPECTED;
        self.0.log_detection(event, service, backend, reason, after);
    }

    fn record_ejection(&self, service: &str, backend: &str, reason: EjectReason, after: Duration) {
        self.0.set_ejected(service, backend, Some(reason));
        self.0.request_metrics.metrics.count_ejection(reason, after);
        let event = &telemetry::events::BACKEND_EJECTED;
        self.0.log_detection(event, service, backend, reason, after);
    }

    fn record_restoration(&self, service: &str, backend: &str, falsely: bool) {
        self.0.set_ejected(service, backend, None);
        self.0.request_metrics.metrics.count_restoration();
        if falsely {
            self.0.request_metrics.metrics.count_false_ejection();
        }
        telemetry::event!(
            BACKEND_RESTORED,
            service = service,
            backend = backend,
            falsely = falsely
        );
    }
}
