use std::sync::Arc;

use config::{Lookup, Route};
use kernel::VmState;
use kernel::prelude::*;
use operator::{ExplainQuery, ExplainStep, Explanation, OperatorError};

use crate::rights::RATE;
use crate::shared::Shared;

/// Collects what would become of a request.
struct Probe<'a> {
    shared: &'a Arc<Shared>,
    organisation: Option<&'a str>,
    steps: Vec<ExplainStep>,
    /// What refuses the request first.
    refused: Option<Box<str>>,
}

impl Shared {
    /// Explains a request that this VM has seen, or one that could be made.
    pub async fn explain(
        self: &Arc<Self>,
        query: ExplainQuery,
    ) -> Result<Explanation, OperatorError> {
        match query {
            ExplainQuery::Request(id) => {
                self.trail.explain(self.now(), &self.me.vm, &id).ok_or_else(|| {
                    OperatorError::NotFound(
                        "the request is not among the last 1,024 of this VM; ask the VM that it \
                         was sent to, or explain a request with --path"
                            .into(),
                    )
                })
            }
            ExplainQuery::Probe { method, path, organisation } => {
                let mut probe = Probe {
                    shared: self,
                    organisation: organisation.as_deref(),
                    steps: Vec::new(),
                    refused: None,
                };
                Ok(probe.run(&method, &path).await)
            }
        }
    }
}

impl Probe<'_> {
    fn note(&mut self, text: impl Into<Box<str>>) {
        let vm = self.shared.me.vm.clone();
        self.steps.push(ExplainStep { after: None, vm, text: text.into() });
    }

    fn refuse(&mut self, kind: RefusalKind, text: impl Into<Box<str>>) {
        self.note(text);
        self.refused.get_or_insert_with(|| format!("{kind} (not-run)").into());
    }

    async fn run(&mut self, method: &str, path: &str) -> Explanation {
        let lookup = self.shared.lookup.load_full();
        let path = path.split('?').next().unwrap_or_default();
        let Some(found) = lookup.find_route(method, path) else {
            let text = format!("no route takes {method} {path}; check the path and the method");
            self.refuse(RefusalKind::RouteUnknown, text);
            return self.explanation(None);
        };
        let route = found.route;
        self.note(format!(
            "route {} takes {method} {path} by its prefix {}, for service {}",
            found.id, route.prefix, route.service
        ));
        if self.shared.flags.stopping() {
            self.note("this VM is stopping and leaves the entry responses");
        }
        self.check_access(&lookup, route);
        if !route.public {
            match self.shared.check_freshness() {
                Ok(()) => {
                    let age = self.shared.staleness(self.shared.now());
                    let version = lookup.config.version;
                    let age_s = age.as_secs_f64();
                    self.note(format!("version {version} is in force, confirmed {age_s:.1} s ago"));
                }
                Err(refusal) => self.refuse(refusal.kind, refusal.message),
            }
            self.show_rate(&lookup).await;
        }
        if !route.idempotent {
            self.note("it may run once and needs an idempotency key");
        }
        self.show_homes(&lookup, route);
        self.explanation(Some((found.id, route)))
    }

    fn explanation(&mut self, found: Option<(&str, &Route)>) -> Explanation {
        Explanation {
            route: found.map(|(id, _)| id.into()),
            service: found.map(|(_, route)| route.service.clone()),
            outcome: self.refused.take().unwrap_or_else(|| "would run".into()),
            steps: std::mem::take(&mut self.steps),
        }
    }

    fn check_access(&mut self, lookup: &Lookup, route: &Route) {
        if route.public {
            return self.note("the route is open: no key is needed and no rate applies");
        }
        let Some(id) = self.organisation else {
            let text = "the route needs a key; name the organisation to ask for one";
            return self.refuse(RefusalKind::KeyMissing, text);
        };
        let keys = lookup.config.keys.values().filter(|key| &*key.organisation == id);
        let (withdrawn, works): (Vec<_>, Vec<_>) = keys.partition(|key| key.withdrawn);
        let allowed = &route.organisations;
        if !lookup.config.organisations.contains_key(id) {
            let text = format!("organisation {id} does not exist; create it");
            self.refuse(RefusalKind::KeyUnknown, text);
        } else if works.is_empty() {
            let text = format!("organisation {id} has no key that works; issue one");
            let none = withdrawn.is_empty();
            let kind = if none { RefusalKind::KeyUnknown } else { RefusalKind::KeyWithdrawn };
            self.refuse(kind, text);
        } else if !allowed.is_empty() && !allowed.iter().any(|allowed| &**allowed == id) {
            let text = format!("the route is not for organisation {id}; change the route");
            self.refuse(RefusalKind::KeyForeign, text);
        } else {
            self.note(format!("{} keys of organisation {id} give access", works.len()));
        }
    }

    async fn show_rate(&mut self, lookup: &Lookup) {
        let Some(id) = self.organisation else { return };
        let Some(organisation) = lookup.config.organisations.get(id) else { return };
        let Rate { per_second, burst } = organisation.rate;
        let rate = format!("organisation {id} has a rate of {per_second}/s and a burst of {burst}");
        let Some(held) = self.shared.held_units().await else {
            return self
                .note(format!("{rate}; the store is slow, so that its units are not known"));
        };
        let held = held.into_iter().find(|(kind, name, _)| &**kind == RATE && &**name == id);
        let (units, total) =
            held.map_or((0, limiter::RATE_UNITS), |(_, _, held)| (held.units, held.total));
        self.note(format!("{rate}; this VM holds {units} of its {total} units"));
    }

    fn show_homes(&mut self, lookup: &Lookup, route: &Route) {
        let service = &route.service;
        let me = &self.shared.me;
        let region = me.place.region.clone();
        let homes = self.shared.view.load().homes(service, &region);
        match homes.first() {
            Some(home) if home.incarnation == me.incarnation => {
                self.note(format!("this VM is the home of service {service} in {region}"));
            }
            Some(home) => {
                let leaving =
                    if home.state == VmState::Leaving { ", which is leaving" } else { "" };
                let text = format!(
                    "VM {} is the home of service {service} in {region}{leaving}; it gets the \
                     request, so ask it about slots",
                    home.vm
                );
                return self.note(text);
            }
            None => self.note(format!("no live VM is known in {region}; this VM runs the request")),
        }
        let open = self.shared.engine().map(|engine| engine.schedulers()).unwrap_or_default();
        let Some((_, home)) = open.into_iter().find(|(id, _)| id == service) else {
            let text = "the home has had no request yet, so that nothing is known of its slots";
            return self.note(text);
        };
        let (usable, used, waiting) = home.load();
        self.note(format!("{used} of {usable} usable slots are used, {waiting} requests wait"));
        let mut standings = home.health_statuses();
        standings.sort_by(|a, b| a.0.cmp(&b.0));
        for (backend, standing) in &standings {
            self.note(format!("backend server {backend}: {}", describe(*standing)));
        }
        let elsewhere = lookup.config.services.get(service).is_some_and(|service| {
            service.backends.iter().any(|b| b.place.region != region && !b.draining)
        });
        if usable == 0 && elsewhere {
            self.note(format!("no backend server of {region} takes work; another region may"));
        } else if usable == 0 {
            let text = "no backend server takes work; the request waits for one until its deadline";
            self.refuse(RefusalKind::DeadlinePassed, text);
        }
    }
}

fn describe(standing: HealthStatus) -> String {
    match standing {
        HealthStatus::Healthy => "takes work".into(),
        HealthStatus::Ramping(part) => format!("ramps up, takes {:.0}% of its slots", part * 100.0),
        HealthStatus::Suspect => "suspect, used only when no better one has a free slot".into(),
        HealthStatus::Unreachable => "cannot be reached from this VM".into(),
        HealthStatus::HalfOpen => "half open, takes one idempotent trial at a time".into(),
        HealthStatus::Ejected => "ejected".into(),
        HealthStatus::Draining => "draining, takes no new work".into(),
    }
}
