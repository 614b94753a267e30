use std::collections::HashSet;

use kernel::prelude::*;

use crate::{Change, Organisation, Route, Service, ValidationError, ValidationErrorKind};

/// First segment of the paths that the fleet answers itself.
const RESERVED: &str = "/.papayareel";

/// Longest name in bytes. Names are parts of row keys, log lines and headers.
const MAX_NAME: usize = 64;

/// Whether a text can be the name of anything in the configuration.
pub(crate) fn is_name(text: &str) -> bool {
    let ok = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(ok)
}

/// Collects the faults of the values of one change set, apart from references.
#[derive(Default)]
pub(crate) struct Checker {
    faults: Vec<ValidationError>,
}

impl Checker {
    pub(crate) fn add(&mut self, path: impl Into<Box<str>>, kind: ValidationErrorKind) {
        self.faults.push(ValidationError { path: path.into(), kind });
    }

    pub(crate) fn into_faults(self) -> Vec<ValidationError> {
        self.faults
    }

    pub(crate) fn name(&mut self, path: impl Into<Box<str>>, name: &str) {
        if !is_name(name) {
            self.add(path, ValidationErrorKind::InvalidName(name.into()));
        }
    }

    /// Checks the values of one change.
    pub(crate) fn change(&mut self, at: &str, change: &Change) {
        match change {
            Change::PutOrganisation { id, organisation } => {
                self.name(format!("{at}.id"), id);
                self.organisation(&format!("{at}.organisation"), organisation);
            }
            Change::PutService { id, service } => {
                self.name(format!("{at}.id"), id);
                self.service(&format!("{at}.service"), service);
            }
            Change::PutRoute { id, route } => {
                self.name(format!("{at}.id"), id);
                self.route(&format!("{at}.route"), route);
            }
            Change::RemoveOrganisation { .. }
            | Change::RemoveService { .. }
            | Change::RemoveRoute { .. }
            | Change::IssueKey { .. }
            | Change::WithdrawKey { .. } => {}
        }
    }

    fn weight(&mut self, at: &str, weight: f64) {
        if !(weight.is_finite() && weight > 0.0) {
            self.add(format!("{at}.weight"), ValidationErrorKind::InvalidWeight(weight));
        }
    }

    fn organisation(&mut self, at: &str, organisation: &Organisation) {
        let Rate { per_second, burst } = organisation.rate;
        if !(per_second.is_finite() && per_second >= 0.0) {
            self.add(format!("{at}.rate.per_second"), ValidationErrorKind::InvalidRate(per_second));
        }
        if !(burst.is_finite() && burst >= 1.0) {
            self.add(format!("{at}.rate.burst"), ValidationErrorKind::InvalidBurst(burst));
        }
        self.weight(at, organisation.weight);
    }

    fn service(&mut self, at: &str, service: &Service) {
        if !(0.0..=1.0).contains(&service.min_healthy) {
            self.add(
                format!("{at}.floor"),
                ValidationErrorKind::InvalidMinHealthy(service.min_healthy),
            );
        }
        let mut seen = HashSet::new();
        for (i, backend) in service.backends.iter().enumerate() {
            let at = format!("{at}.backends[{i}]");
            self.name(format!("{at}.id"), &backend.id);
            if !seen.insert(&backend.id) {
                self.add(
                    format!("{at}.id"),
                    ValidationErrorKind::DuplicateBackend(backend.id.clone()),
                );
            }
            self.name(format!("{at}.place.region"), &backend.place.region);
            self.name(format!("{at}.place.domain"), &backend.place.domain);
            let (slots, connections) = (backend.limits.slots, backend.limits.connections);
            if slots == 0 {
                self.add(format!("{at}.limits.slots"), ValidationErrorKind::NoSlots);
            }
            if connections < slots {
                let kind = ValidationErrorKind::TooFewConnections { slots, connections };
                self.add(format!("{at}.limits.connections"), kind);
            }
        }
    }

    fn route(&mut self, at: &str, route: &Route) {
        let prefix = &route.prefix;
        let bad = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '?' | '#');
        if !prefix.starts_with('/') || prefix.contains(bad) {
            self.add(format!("{at}.prefix"), ValidationErrorKind::InvalidPrefix(prefix.clone()));
        }
        if prefix
            .strip_prefix(RESERVED)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        {
            self.add(format!("{at}.prefix"), ValidationErrorKind::ReservedPrefix(prefix.clone()));
        }
        for (i, method) in route.methods.iter().enumerate() {
            if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
                self.add(
                    format!("{at}.methods[{i}]"),
                    ValidationErrorKind::InvalidMethod(method.clone()),
                );
            }
        }
        self.weight(at, route.weight);
        if route.deadline.is_zero() || !route.deadline.subsec_nanos().is_multiple_of(1_000_000) {
            self.add(
                format!("{at}.deadline_ms"),
                ValidationErrorKind::InvalidDeadline(route.deadline),
            );
        }
        if route.public && !route.organisations.is_empty() {
            self.add(format!("{at}.organisations"), ValidationErrorKind::RestrictedPublicRoute);
        }
    }
}
