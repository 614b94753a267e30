use std::sync::Arc;

use config::{Lookup, Route};
use kernel::VmState;
use kernel::prelude::*;
use operator::{ExplainQuery, ExplainStep, Explanation, OperatorError};

use crate::rights::RATE;
use crate::shared::Shared;

/// Collects the steps that a hypothetical request would go through.
struct RequestCheck<'a> {
    shared: &'a Arc<Shared>,
    organisation: Option<&'a str>,
    steps: Vec<ExplainStep>,
    /// Outcome text of the first refusal.
    first_refusal: Option<Box<str>>,
}

impl Shared {
    /// Explains a recent request of this VM, or a hypothetical one.
    pub async fn explain(
        self: &Arc<Self>,
        query: ExplainQuery,
    ) -> Result<Explanation, OperatorError> {
        match query {
            ExplainQuery::RequestId(id) => {
                self.recent_requests.explain(self.now(), &self.this_vm.vm, &id).ok_or_else(|| {
                    OperatorError::NotFound(
                        "the request is not among the last 1,024 of this VM; ask the VM that it \
                         was sent to, or explain a request with --path"
                            .into(),
                    )
                })
            }
            ExplainQuery::Hypothetical { method, path, organisation } => {
                let mut check = RequestCheck {
                    shared: self,
                    organisation: organisation.as_deref(),
                    steps: Vec::new(),
                    first_refusal: None,
                };
                Ok(check.run(&method, &path).await)
            }
        }
    }
}

impl RequestCheck<'_> {
    fn add_step(&mut self, text: impl Into<Box<str>>) {
        let vm = self.shared.this_vm.vm.clone();
        self.steps.push(ExplainStep { after: None, vm, text: text.into() });
    }

    fn add_refusal(&mut self, kind: RefusalKind, text: impl Into<Box<str>>) {
        self.add_step(text);
        self.first_refusal.get_or_insert_with(|| format!("{kind} (not-run)").into());
    }

    async fn run(&mut self, method: &str, path: &str) -> Explanation {
        let lookup = self.shared.lookup.load_full();
        let path = path.split('?').next().unwrap_or_default();
        let Some(found) = lookup.find_route(method, path) else {
            let text = format!("no route takes {method} {path}; check the path and the method");
            self.add_refusal(RefusalKind::RouteUnknown, text);
            return self.explanation(None);
        };
        let route = found.route;
        self.add_step(format!(
            "route {} takes {method} {path} by its prefix {}, for service {}",
            found.id, route.prefix, route.service
        ));
        if self.shared.flags.stopping() {
            self.add_step("this VM is stopping and is no longer in resolve responses");
        }
        self.check_access(&lookup, route);
        if !route.public {
            match self.shared.check_freshness() {
                Ok(()) => {
                    let age = self.shared.staleness(self.shared.now());
                    let version = lookup.config.version;
                    let age_s = age.as_secs_f64();
                    self.add_step(format!(
                        "version {version} is in force, confirmed {age_s:.1} s ago"
                    ));
                }
                Err(refusal) => self.add_refusal(refusal.kind, refusal.message),
            }
            self.explain_rate(&lookup).await;
        }
        if !route.idempotent {
            self.add_step("the route is not idempotent: the request needs an idempotency key");
        }
        self.explain_home(&lookup, route);
        self.explanation(Some((found.id, route)))
    }

    fn explanation(&mut self, found: Option<(&str, &Route)>) -> Explanation {
        Explanation {
            route: found.map(|(id, _)| id.into()),
            service: found.map(|(_, route)| route.service.clone()),
            outcome: self.first_refusal.take().unwrap_or_else(|| "would run".into()),
            steps: std::mem::take(&mut self.steps),
        }
    }

    fn check_access(&mut self, lookup: &Lookup, route: &Route) {
        if route.public {
            return self.add_step("the route is open: no key is needed and no rate applies");
        }
        let Some(id) = self.organisation else {
            let text = "the route needs a key; name an organisation to check its access";
            return self.add_refusal(RefusalKind::KeyMissing, text);
        };
        let keys = lookup.config.keys.values().filter(|key| &*key.organisation == id);
        let (withdrawn, valid): (Vec<_>, Vec<_>) = keys.partition(|key| key.withdrawn);
        let allowed = &route.organisations;
        if !lookup.config.organisations.contains_key(id) {
            let text = format!("organisation {id} does not exist; create it");
            self.add_refusal(RefusalKind::KeyUnknown, text);
        } else if valid.is_empty() {
            let text = format!("organisation {id} has no valid key; issue one");
            let none = withdrawn.is_empty();
            let kind = if none { RefusalKind::KeyUnknown } else { RefusalKind::KeyWithdrawn };
            self.add_refusal(kind, text);
        } else if !allowed.is_empty() && !allowed.iter().any(|allowed| &**allowed == id) {
            let text = format!("organisation {id} may not use the route; add it to the route");
            self.add_refusal(RefusalKind::KeyForeign, text);
        } else {
            self.add_step(format!("{} keys of organisation {id} give access", valid.len()));
        }
    }

    async fn explain_rate(&mut self, lookup: &Lookup) {
        let Some(id) = self.organisation else { return };
        let Some(organisation) = lookup.config.organisations.get(id) else { return };
        let Rate { per_second, burst } = organisation.rate;
        let rate = format!("organisation {id} has a rate of {per_second}/s and a burst of {burst}");
        let Some(held) = self.shared.held_units().await else {
            return self
                .add_step(format!("{rate}; its units are unknown because the store is slow"));
        };
        let held = held.into_iter().find(|(kind, name, _)| &**kind == RATE && &**name == id);
        let (units, total) =
            held.map_or((0, limiter::RATE_UNITS), |(_, _, held)| (held.units, held.total));
        self.add_step(format!("{rate}; this VM holds {units} of its {total} units"));
    }

    fn explain_home(&mut self, lookup: &Lookup, route: &Route) {
        let service = &route.service;
        let this_vm = &self.shared.this_vm;
        let region = this_vm.place.region.clone();
        let homes = self.shared.view.load().homes(service, &region);
        match homes.first() {
            Some(home) if home.incarnation == this_vm.incarnation => {
                self.add_step(format!("this VM is the home of service {service} in {region}"));
            }
            Some(home) => {
                let leaving =
                    if home.state == VmState::Leaving { ", which is leaving" } else { "" };
                let text = format!(
                    "VM {} is the home of service {service} in {region}{leaving}; the request is \
                     forwarded to it, so ask it about slots",
                    home.vm
                );
                return self.add_step(text);
            }
            None => {
                self.add_step(format!("no live VM is known in {region}; this VM runs the request"))
            }
        }
        let open = self.shared.engine().map(|engine| engine.schedulers()).unwrap_or_default();
        let Some((_, home)) = open.into_iter().find(|(id, _)| id == service) else {
            let text = "the home has had no request yet, so its slots are unknown";
            return self.add_step(text);
        };
        let (usable, used, waiting) = home.load();
        self.add_step(format!(
            "{used} of {usable} usable slots are in use, {waiting} requests are queued"
        ));
        let mut statuses = home.health_statuses();
        statuses.sort_by(|a, b| a.0.cmp(&b.0));
        for (backend, status) in &statuses {
            self.add_step(format!("backend server {backend}: {}", describe_status(*status)));
        }
        let elsewhere = lookup.config.services.get(service).is_some_and(|service| {
            service.backends.iter().any(|b| b.place.region != region && !b.draining)
        });
        if usable == 0 && elsewhere {
            self.add_step(format!("no backend server of {region} takes work; another region may"));
        } else if usable == 0 {
            let text = "no backend server takes work; the request waits for one until its deadline";
            self.add_refusal(RefusalKind::DeadlinePassed, text);
        }
    }
}

fn describe_status(status: HealthStatus) -> String {
    match status {
        HealthStatus::Healthy => "takes work".into(),
        HealthStatus::Ramping(part) => format!("ramps up, takes {:.0}% of its slots", part * 100.0),
        HealthStatus::Suspect => "suspect, used only when no better one has a free slot".into(),
        HealthStatus::Unreachable => "cannot be reached from this VM".into(),
        HealthStatus::HalfOpen => "half open, takes one idempotent trial at a time".into(),
        HealthStatus::Ejected => "ejected".into(),
        HealthStatus::Draining => "draining, takes no new work".into(),
    }
}
