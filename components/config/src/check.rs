use std::collections::HashSet;

use kernel::prelude::*;

use crate::{Change, Organisation, Route, Service, ValidationError, ValidationErrorKind};

/// Prefix of the paths that the VMs serve themselves.
const RESERVED_PREFIX: &str = "/.papayareel";

/// Names are bounded because they are part of row keys, log lines and headers.
const MAX_NAME_BYTES: usize = 64;

/// Whether a text is a valid name of an organisation, service, route, backend server or change set.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Validates the values of a change set, apart from references, and collects the errors.
#[derive(Default)]
pub(crate) struct Checker {
    errors: Vec<ValidationError>,
}

impl Checker {
    pub(crate) fn report(&mut self, path: impl Into<Box<str>>, kind: ValidationErrorKind) {
        self.errors.push(ValidationError { path: path.into(), kind });
    }

    pub(crate) fn into_errors(self) -> Vec<ValidationError> {
        self.errors
    }

    pub(crate) fn check_name(&mut self, path: impl Into<Box<str>>, name: &str) {
        if !is_name(name) {
            self.report(path, ValidationErrorKind::InvalidName(name.into()));
        }
    }

    /// Checks the values of one change, whose position in the change set is `path`.
    pub(crate) fn check_change(&mut self, path: &str, change: &Change) {
        match change {
            Change::PutOrganisation { id, organisation } => {
                self.check_name(format!("{path}.id"), id);
                self.check_organisation(&format!("{path}.organisation"), organisation);
            }
            Change::PutService { id, service } => {
                self.check_name(format!("{path}.id"), id);
                self.check_service(&format!("{path}.service"), service);
            }
            Change::PutRoute { id, route } => {
                self.check_name(format!("{path}.id"), id);
                self.check_route(&format!("{path}.route"), route);
            }
            Change::RemoveOrganisation { .. }
            | Change::RemoveService { .. }
            | Change::RemoveRoute { .. }
            | Change::IssueKey { .. }
            | Change::WithdrawKey { .. } => {}
        }
    }

    fn check_weight(&mut self, path: &str, weight: f64) {
        if !(weight.is_finite() && weight > 0.0) {
            self.report(format!("{path}.weight"), ValidationErrorKind::InvalidWeight(weight));
        }
    }

    fn check_organisation(&mut self, path: &str, organisation: &Organisation) {
        let Rate { per_second, burst } = organisation.rate;
        if !(per_second.is_finite() && per_second >= 0.0) {
            self.report(
                format!("{path}.rate.per_second"),
                ValidationErrorKind::InvalidRate(per_second),
            );
        }
        if !(burst.is_finite() && burst >= 1.0) {
            self.report(format!("{path}.rate.burst"), ValidationErrorKind::InvalidBurst(burst));
        }
        self.check_weight(path, organisation.weight);
    }

    fn check_service(&mut self, path: &str, service: &Service) {
        if !(0.0..=1.0).contains(&service.min_healthy) {
            self.report(
                format!("{path}.floor"),
                ValidationErrorKind::InvalidMinHealthy(service.min_healthy),
            );
        }
        let mut seen = HashSet::new();
        for (i, backend) in service.backends.iter().enumerate() {
            let path = format!("{path}.backends[{i}]");
            self.check_name(format!("{path}.id"), &backend.id);
            if !seen.insert(&backend.id) {
                self.report(
                    format!("{path}.id"),
                    ValidationErrorKind::DuplicateBackend(backend.id.clone()),
                );
            }
            self.check_name(format!("{path}.place.region"), &backend.place.region);
            self.check_name(format!("{path}.place.domain"), &backend.place.domain);
            let (slots, connections) = (backend.limits.slots, backend.limits.connections);
            if slots == 0 {
                self.report(format!("{path}.limits.slots"), ValidationErrorKind::NoSlots);
            }
            if connections < slots {
                let kind = ValidationErrorKind::TooFewConnections { slots, connections };
                self.report(format!("{path}.limits.connections"), kind);
            }
        }
    }

    fn check_route(&mut self, path: &str, route: &Route) {
        let prefix = &route.prefix;
        let is_invalid = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '?' | '#');
        if !prefix.starts_with('/') || prefix.contains(is_invalid) {
            self.report(
                format!("{path}.prefix"),
                ValidationErrorKind::InvalidPrefix(prefix.clone()),
            );
        }
        if prefix
            .strip_prefix(RESERVED_PREFIX)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        {
            self.report(
                format!("{path}.prefix"),
                ValidationErrorKind::ReservedPrefix(prefix.clone()),
            );
        }
        for (i, method) in route.methods.iter().enumerate() {
            if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
                self.report(
                    format!("{path}.methods[{i}]"),
                    ValidationErrorKind::InvalidMethod(method.clone()),
                );
            }
        }
        self.check_weight(path, route.weight);
        if route.deadline.is_zero() || !route.deadline.subsec_nanos().is_multiple_of(1_000_000) {
            self.report(
                format!("{path}.deadline_ms"),
                ValidationErrorKind::InvalidDeadline(route.deadline),
            );
        }
        if route.public && !route.organisations.is_empty() {
            self.report(
                format!("{path}.organisations"),
                ValidationErrorKind::RestrictedPublicRoute,
            );
        }
    }
}
