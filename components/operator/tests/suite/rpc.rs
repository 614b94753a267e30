//! Tests of calls over loopback: authentication, errors, and conversion of values.

use config::{Change, ChangeSet, FleetConfig, Organisation, Service, digest_key};
use kernel::{BackendLimits, BackendSpec, Place, Rate};
use operator::{Client, EntryKind, ExplainQuery, OperatorError, StatusQuery};

use crate::fleet::{TOKEN, TestServer, explanation, status};

fn set(base_version: u64, change_id: &str, changes: Vec<Change>) -> ChangeSet {
    ChangeSet { change_id: change_id.into(), base_version, changes }
}

fn put(id: &str, burst: f64) -> Change {
    let rate = Rate { per_second: 0.1, burst };
    Change::PutOrganisation { id: id.into(), organisation: Organisation { rate, weight: 1.5 } }
}

/// Guards against calls that are executed without a valid token.
#[tokio::test]
async fn wrong_token_is_rejected() {
    let server = TestServer::start().await;
    let mut client = Client::connect(server.address, "token-of-a-stranger").await.unwrap();
    let error = client.apply(&set(0, "c", vec![put("sorano", 1.0)])).await.unwrap_err();
    assert_eq!(error, OperatorError::Unauthenticated);
    assert_eq!(client.config().await.unwrap_err(), OperatorError::Unauthenticated);
    let mut client = Client::connect(server.address, TOKEN).await.unwrap();
    assert_eq!(client.config().await.unwrap(), FleetConfig::default());
    drop(client);
    server.stop().await;
}

/// Guards against errors that lose their kind, versions or invalid fields in transit.
#[tokio::test]
async fn errors_keep_their_details_in_transit() {
    let server = TestServer::start().await;
    let mut client = Client::connect(server.address, TOKEN).await.unwrap();
    let applied = client.apply(&set(0, "a", vec![put("sorano", 1.0)])).await.unwrap();
    assert_eq!((applied.version, applied.repeated), (1, false));
    let error = client.apply(&set(0, "b", vec![put("sorano", 2.0)])).await.unwrap_err();
    assert_eq!(error, OperatorError::Conflict { base: 0, current: 1 });

    let bad = vec![put("so rano", 0.0), Change::RemoveRoute { id: "none".into() }];
    match client.apply(&set(1, "b", bad)).await.unwrap_err() {
        OperatorError::Invalid(errors) => {
            let paths: Vec<&str> = errors.iter().map(|error| &*error.path).collect();
            assert_eq!(
                paths,
                ["changes[0].id", "changes[0].organisation.rate.burst", "changes[1]"]
            );
        }
        other => panic!("{other:?}"),
    }
    for error in [
        OperatorError::ChangeIdReused { version: 4 },
        OperatorError::Unavailable("the store is down; retry later".into()),
        OperatorError::Internal("a row cannot be read".into()),
    ] {
        server.fleet.failures.lock().unwrap().push(error.clone());
        let version = client.config().await.unwrap().version;
        let change = set(version, &format!("c{version}"), vec![put("sorano", 3.0)]);
        assert_eq!(client.apply(&change).await.unwrap_err(), error);
    }
    let missing = client.explain(ExplainQuery::RequestId("r1".into())).await.unwrap_err();
    assert!(matches!(missing, OperatorError::NotFound(_)), "{missing:?}");
    drop(client);
    server.stop().await;
}

/// Guards against applying a change twice, or reporting it as failed, after its response was lost.
#[tokio::test]
async fn change_with_unknown_outcome_is_retried_and_applied_once() {
    let server = TestServer::start().await;
    let mut client = Client::connect(server.address, TOKEN).await.unwrap();
    let lost = OperatorError::UnknownOutcome { change_id: "a".into() };
    server.fleet.failures.lock().unwrap().push(lost);
    let applied = client.apply(&set(0, "a", vec![put("sorano", 1.0)])).await.unwrap();
    assert_eq!((applied.version, applied.repeated), (1, true));
    drop(client);
    server.stop().await;
}

/// Guards against values that are lost in the conversion to and from messages, and against failure
/// for a configuration that does not fit into one message.
#[tokio::test]
async fn values_are_unchanged_in_transit() {
    let server = TestServer::start().await;
    let mut client = Client::connect(server.address, TOKEN).await.unwrap();
    let backend = |i: u16| BackendSpec {
        id: format!("b{i}").into(),
        address: ([127, 0, 0, 1], 7000 + i).into(),
        place: Place { region: "thies".into(), domain: "thies-nord".into() },
        limits: BackendLimits { slots: 2, connections: 300 },
        draining: i == 1,
    };
    let route = config::Route {
        prefix: "/stock".into(),
        methods: vec!["GET".into(), "HEAD".into()],
        service: "stock".into(),
        public: false,
        idempotent: true,
        weight: 0.3,
        deadline: std::time::Duration::from_millis(1250),
        organisations: vec!["org-1".into()],
    };
    let mut changes: Vec<Change> = (0..450).map(|i| put(&format!("org-{i}"), 1.0)).collect();
    let issue = |i: u32| Change::IssueKey {
        digest: digest_key(&i.to_be_bytes()),
        organisation: "org-1".into(),
    };
    changes.extend((0..250).map(issue));
    changes.push(Change::WithdrawKey { digest: digest_key(&7u32.to_be_bytes()) });
    let service = Service { min_healthy: 0.25, backends: vec![backend(1), backend(2)] };
    changes.push(Change::PutService { id: "stock".into(), service });
    changes.push(Change::PutRoute { id: "read".into(), route });
    let change = set(0, "a", changes);
    let expected = config::apply(&FleetConfig::default(), &change).unwrap().0;
    client.apply(&change).await.unwrap();
    assert_eq!(client.config().await.unwrap(), expected);
    // A read of some kinds returns only their entries, and always the version to base changes on.
    let organisations = client.read_entries(&[EntryKind::Organisation]).await.unwrap();
    let version = expected.version;
    let kept = expected.organisations.clone();
    let part = FleetConfig { version, organisations: kept, ..FleetConfig::default() };
    assert_eq!(organisations, part);
    let none = client.read_entries(&[EntryKind::Unspecified]).await.unwrap();
    assert_eq!(none, FleetConfig { version, ..FleetConfig::default() });

    let query = StatusQuery { organisations: vec!["org-1".into()] };
    assert_eq!(client.status(query.clone()).await.unwrap(), status(&query));
    let probe = ExplainQuery::Hypothetical {
        method: "GET".into(),
        path: "/stock/1".into(),
        organisation: None,
    };
    assert_eq!(client.explain(probe).await.unwrap(), explanation());

    let removal = ["read", "stock", "org-1"].map(Box::<str>::from);
    let [id, service, organisation] = removal;
    let changes = vec![
        Change::RemoveRoute { id },
        Change::RemoveService { id: service },
        Change::RemoveOrganisation { id: organisation },
    ];
    client.apply(&set(1, "b", changes)).await.unwrap();
    let config = client.config().await.unwrap();
    assert!(config.keys.len() == 250 && config.keys.values().all(|key| key.withdrawn));
    drop(client);
    server.stop().await;
}
