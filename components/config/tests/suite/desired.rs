//! Desired states, and the changes that lead to them.

use config::{Change, ChangeSummary, DesiredState, diff, digest_key};

use crate::common::{example, service, set};

/// Guards against a file that removes entries because it omits a section, and against keys that are
/// withdrawn because a file does not list them.
#[test]
fn only_the_keys_may_be_left_out() {
    let error = DesiredState::parse(br#"{"organisations": {}, "services": {}}"#).unwrap_err();
    assert!(error.to_string().contains("missing field `routes`"), "{error}");
    let json = br#"{"organisations": {}, "services": {"s": {"floor": "x"}}, "routes": {}}"#;
    assert_eq!(&*DesiredState::parse(json).unwrap_err().path, "services.s.floor");

    let current = example();
    let json = serde_json::json!({
        "organisations": &current.organisations,
        "services": &current.services,
        "routes": &current.routes,
    });
    let desired = DesiredState::parse(json.to_string().as_bytes()).unwrap();
    assert_eq!(diff(&current, &desired.into_config(&current)), []);
}

/// Guards against a key that stays valid after it is removed from a file that lists the keys.
#[test]
fn omitted_key_is_withdrawn() {
    let current = example();
    let mut desired = current.clone();
    desired.keys.clear();
    let changes = diff(&current, &desired);
    assert_eq!(changes, [Change::WithdrawKey { digest: digest_key(b"k1") }]);
    let (next, _) = config::apply(&current, &set(1, "c", changes)).unwrap();
    assert!(next.keys[&digest_key(b"k1")].withdrawn);
}

/// Guards against a summary that omits changes of backend servers or withdrawn keys.
#[test]
fn summary_shows_differences_by_field() {
    let current = example();
    let mut changed = service(3);
    changed.backends[0].draining = true;
    changed.backends[1].id = "b9".into();
    let changes = vec![
        Change::PutService { id: "stock".into(), service: changed },
        Change::RemoveRoute { id: "read".into() },
        Change::RemoveOrganisation { id: "sorano".into() },
    ];
    let text = ChangeSummary { current: &current, changes: &changes }.to_string();
    let place = "in dakar/dakar-plateau, 2 slots, 300 connections";
    let b0 = format!("(127.0.0.1:7000 {place}) -> (127.0.0.1:7000 {place}, draining)");
    let expected = format!(
        "~ service stock: backend server b0 {b0}, new backend server b9 (127.0.0.1:7001 {place}), \
         without backend server b1\n\
         - route read\n\
         - organisation sorano (withdraws its 1 keys)\n"
    );
    assert_eq!(text, expected);
}
