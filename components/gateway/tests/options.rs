//! The settings file of the gateway.

use std::time::Duration;

use gateway::{Options, options_table};
use serde_json::{Map, Value, json};

fn map(value: Value) -> Map<String, Value> {
    match value {
        Value::Object(map) => map,
        other => panic!("not a JSON object: {other}"),
    }
}

#[test]
fn empty_file_gives_the_defaults() {
    assert_eq!(Options::try_from(Map::new()).ok(), Some(Options::default()));
}

#[test]
fn value_replaces_only_its_own_default() {
    let options = Options::try_from(map(json!({"entry_ttl_ms": 900}))).expect("it is valid");
    let expected = Options { resolve_ttl: Duration::from_millis(900), ..Options::default() };
    assert_eq!(options, expected);
}

#[test]
fn all_problems_are_reported_at_once() {
    let file = json!({"connect_ms": "fast", "beat_home_ms": 5000, "report_ms": -1, "colour": 1});
    let problems = Options::try_from(map(file)).expect_err("it has four problems");
    let mut paths: Vec<&str> = problems.iter().map(|problem| &*problem.path).collect();
    paths.sort_unstable();
    assert_eq!(paths, ["beat_home_ms", "colour", "connect_ms", "report_ms"]);
    let text = problems.iter().map(|problem| problem.to_string()).collect::<String>();
    assert!(text.contains("from 50 to 600"), "{text}");
}

#[test]
fn documentation_and_deployed_file_match_the_code() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let page = std::fs::read_to_string(format!("{root}/docs/gateway-settings.md"));
    assert!(page.expect("docs/gateway-settings.md").contains(&options_table()));
    let deployed = Options::read(format!("{root}/deploy/gateway.json").as_ref());
    assert_eq!(deployed.expect("deploy/gateway.json is valid"), Options::default());
}
