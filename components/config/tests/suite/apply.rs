//! Change sets: validation, conflicts, and withdrawn keys.

use crate::common::{example, organisation, route, service, set};
use config::{Access, Change, ChangeError, Lookup, ValidationErrorKind, apply, digest_key, replay};
use kernel::RefusalKind;

fn validation_errors(changes: Vec<Change>) -> Vec<(String, ValidationErrorKind)> {
    match apply(&example(), &set(1, "c", changes)) {
        Err(ChangeError::Invalid(errors)) => {
            errors.0.into_iter().map(|error| (error.path.into(), error.kind)).collect()
        }
        other => panic!("expected validation errors, got {other:?}"),
    }
}

/// Guards against accepting values that the request path cannot work with, and against reporting
/// only the first of several errors.
#[test]
fn all_validation_errors_are_reported_with_their_path() {
    let mut invalid_service = service(2);
    invalid_service.min_healthy = 1.5;
    invalid_service.backends[1].id = "b0".into();
    invalid_service.backends[0].limits.connections = 1;
    let mut invalid_organisation = organisation(-1.0);
    invalid_organisation.rate.burst = 0.5;
    invalid_organisation.weight = 0.0;
    let mut invalid_route = route("stock list", "nowhere");
    invalid_route.weight = f64::NAN;
    invalid_route.deadline = std::time::Duration::from_micros(1500);
    invalid_route.organisations = vec!["nobody".into()];
    let found = validation_errors(vec![
        Change::PutService { id: "s/1".into(), service: invalid_service },
        Change::PutOrganisation { id: "poor".into(), organisation: invalid_organisation },
        Change::PutRoute { id: "r".into(), route: invalid_route },
        Change::IssueKey { digest: digest_key(b"k2"), organisation: "nobody".into() },
    ]);
    let paths: Vec<&str> = found.iter().map(|(path, _)| path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "changes[0].id",
            "changes[0].service.floor",
            "changes[0].service.backends[0].limits.connections",
            "changes[0].service.backends[1].id",
            "changes[1].organisation.rate.per_second",
            "changes[1].organisation.rate.burst",
            "changes[1].organisation.weight",
            "changes[2].route.prefix",
            "changes[2].route.weight",
            "changes[2].route.deadline_ms",
            "changes[2].route.service",
            "changes[2].route.organisations[0]",
            "changes[3].organisation",
        ]
    );
    assert!(
        found.iter().all(|(_, kind)| kind.to_string().contains("; ")),
        "an error message has no remedy"
    );
}

/// Guards against removing a service or organisation that a route refers to, and against two
/// routes that match the same requests.
#[test]
fn changes_that_break_references_or_overlap_are_rejected() {
    let mut restricted = route("/only", "stock");
    restricted.organisations = vec!["sorano".into()];
    let found = validation_errors(vec![
        Change::RemoveService { id: "stock".into() },
        Change::PutRoute { id: "only".into(), route: restricted },
        Change::RemoveOrganisation { id: "sorano".into() },
        Change::PutRoute { id: "twin".into(), route: route("/stock/", "stock") },
        Change::RemoveRoute { id: "none".into() },
    ]);
    let has = |path: &str, kind: ValidationErrorKind| assert!(found.contains(&(path.into(), kind)));
    has("changes[0]", ValidationErrorKind::UsedByRoute("only".into()));
    has("changes[2]", ValidationErrorKind::UsedByRoute("only".into()));
    has("changes[3].route.prefix", ValidationErrorKind::OverlappingRoute("read".into()));
    has("changes[4]", ValidationErrorKind::UnknownRoute("none".into()));
    assert_eq!(
        validation_errors(vec![]),
        [("changes".into(), ValidationErrorKind::EmptyChangeSet)]
    );
}

/// Guards against rejecting a valid set because of the order of its changes.
#[test]
fn route_may_precede_its_service_in_a_set() {
    let changes = vec![
        Change::PutRoute { id: "pay".into(), route: route("/pay", "payment") },
        Change::PutService { id: "payment".into(), service: service(1) },
    ];
    let (next, delta) = apply(&example(), &set(1, "c", changes)).unwrap();
    let mut replayed = example();
    assert!(replay(&mut replayed, &delta));
    assert_eq!(replayed, next);
    assert!(!replay(&mut replayed, &delta), "a delta must not be applied twice");
}

/// Guards against a change that overwrites a newer one, which its author has not seen.
#[test]
fn stale_base_version_conflicts() {
    let removal = vec![Change::RemoveRoute { id: "read".into() }];
    let error = apply(&example(), &set(0, "c", removal)).unwrap_err();
    assert_eq!(error, ChangeError::Conflict { base: 0, current: 1 });
}

/// Guards against a withdrawn key that becomes valid again, because it is issued again or because
/// an organisation of the same name is created.
#[test]
fn withdrawn_key_stays_withdrawn() {
    let removal = vec![
        Change::RemoveOrganisation { id: "sorano".into() },
        Change::PutOrganisation { id: "sorano".into(), organisation: organisation(1.0) },
    ];
    let (next, _) = apply(&example(), &set(1, "c", removal)).unwrap();
    let lookup = Lookup::new(next.clone().into());
    let read = lookup.find_route("GET", "/stock/1").unwrap().route;
    assert_eq!(lookup.authorize(read, Some(b"k1")), Access::Denied(RefusalKind::KeyWithdrawn));
    let reissue =
        vec![Change::IssueKey { digest: digest_key(b"k1"), organisation: "sorano".into() }];
    let error = apply(&next, &set(2, "d", reissue)).unwrap_err();
    assert!(error.to_string().contains("issue another key"), "{error}");
}
