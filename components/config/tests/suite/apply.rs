//! Change sets: validation, conflicts and the life of keys.

use crate::common::{example, organisation, route, service, set};
use config::{Access, Change, ChangeError, Lookup, ValidationErrorKind, apply, digest_key, replay};
use kernel::RefusalKind;

fn faults(changes: Vec<Change>) -> Vec<(String, ValidationErrorKind)> {
    match apply(&example(), &set(1, "c", changes)) {
        Err(ChangeError::Invalid(faults)) => {
            faults.0.into_iter().map(|fault| (fault.path.into(), fault.kind)).collect()
        }
        other => panic!("expected faults, got {other:?}"),
    }
}

/// Guards against a value that breaks the data plane being accepted, and against reporting only
/// the first of several faults.
#[test]
fn every_fault_is_reported_with_its_path() {
    let mut bad = service(2);
    bad.min_healthy = 1.5;
    bad.backends[1].id = "b0".into();
    bad.backends[0].limits.connections = 1;
    let mut poor = organisation(-1.0);
    poor.rate.burst = 0.5;
    poor.weight = 0.0;
    let mut closed = route("stock list", "nowhere");
    closed.weight = f64::NAN;
    closed.deadline = std::time::Duration::from_micros(1500);
    closed.organisations = vec!["nobody".into()];
    let found = faults(vec![
        Change::PutService { id: "s/1".into(), service: bad },
        Change::PutOrganisation { id: "poor".into(), organisation: poor },
        Change::PutRoute { id: "r".into(), route: closed },
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
    assert!(found.iter().all(|(_, kind)| kind.to_string().contains("; ")), "a remedy is missing");
}

/// Guards against removing what a route needs, and against two routes for one request.
#[test]
fn references_stay_whole() {
    let mut only = route("/only", "stock");
    only.organisations = vec!["sorano".into()];
    let found = faults(vec![
        Change::RemoveService { id: "stock".into() },
        Change::PutRoute { id: "only".into(), route: only },
        Change::RemoveOrganisation { id: "sorano".into() },
        Change::PutRoute { id: "twin".into(), route: route("/stock/", "stock") },
        Change::RemoveRoute { id: "none".into() },
    ]);
    let has = |path: &str, kind: ValidationErrorKind| assert!(found.contains(&(path.into(), kind)));
    has("changes[0]", ValidationErrorKind::UsedByRoute("only".into()));
    has("changes[2]", ValidationErrorKind::UsedByRoute("only".into()));
    has("changes[3].route.prefix", ValidationErrorKind::OverlappingRoute("read".into()));
    has("changes[4]", ValidationErrorKind::UnknownRoute("none".into()));
    assert_eq!(faults(vec![]), [("changes".into(), ValidationErrorKind::EmptyChangeSet)]);
}

/// Guards against an order of changes inside one set that an operator has to know.
#[test]
fn a_route_may_come_before_its_service() {
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

/// Guards against a change that overwrites one that its author has not seen.
#[test]
fn a_stale_base_conflicts() {
    let removal = vec![Change::RemoveRoute { id: "read".into() }];
    let error = apply(&example(), &set(0, "c", removal)).unwrap_err();
    assert_eq!(error, ChangeError::Conflict { base: 0, current: 1 });
}

/// Guards against a withdrawn key that works again, by issue or by a new organisation of the name.
#[test]
fn a_withdrawn_key_never_comes_back() {
    let removal = vec![
        Change::RemoveOrganisation { id: "sorano".into() },
        Change::PutOrganisation { id: "sorano".into(), organisation: organisation(1.0) },
    ];
    let (next, _) = apply(&example(), &set(1, "c", removal)).unwrap();
    let lookup = Lookup::new(next.clone().into());
    let read = lookup.find_route("GET", "/stock/1").unwrap().route;
    assert_eq!(lookup.authorize(read, Some(b"k1")), Access::Denied(RefusalKind::KeyWithdrawn));
    let again = vec![Change::IssueKey { digest: digest_key(b"k1"), organisation: "sorano".into() }];
    let error = apply(&next, &set(2, "d", again)).unwrap_err();
    assert!(error.to_string().contains("issue another key"), "{error}");
}
