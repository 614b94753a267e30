//! Tests of the settings file.

use std::time::Duration;

use serde_json::{Value, json};
use settings::{SETTINGS, Settings, settings_table};

fn minimal() -> Value {
    json!({
        "vm": "vm-1",
        "place": {"region": "norrland", "domain": "umea-a"},
        "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
                   "operators": "127.0.0.1:3", "admin": "127.0.0.1:4"},
        "platform": {"address": "127.0.0.1:5"},
        "secrets": {"fleet": "hush-fleet", "operator_tokens": ["hush-token"]}
    })
}

fn paths(value: &Value) -> Vec<String> {
    let error = Settings::parse(&value.to_string()).expect_err("settings with problems");
    let mut paths: Vec<String> = error.problems().iter().map(|p| p.path.to_string()).collect();
    paths.sort_unstable();
    paths
}

/// Guards against a default that differs from the documented one.
#[test]
fn minimal_file_takes_defaults() {
    let settings = Settings::parse(&minimal().to_string()).expect("valid settings");
    assert_eq!(&*settings.platform.adapter, "http");
    assert_eq!(settings.platform.timeout, Duration::from_secs(2));
    assert_eq!((settings.worker_threads, settings.seed), (2, None));
    assert_eq!(settings.limits.max_body_bytes, 8 * 1024 * 1024);
    assert_eq!(settings.session.lease, Duration::from_secs(4 * 3600));
    assert_eq!(settings.drain_period, Duration::from_secs(6));
}

/// Guards against a check that reports only the first problem.
#[test]
fn every_problem_is_reported_at_once() {
    let mut value = minimal();
    value["vm"] = json!("");
    value["listen"]["callers"] = json!("localhost:80");
    value["listen"]["admin"] = json!("127.0.0.1:2");
    value["threads"] = json!("two");
    value["traces"] = json!({"sample": 1.5, "smaple": 1});
    value["platform"] = json!({"timeout_ms": -1});
    value["log"] = json!("loud");
    value["session"] = json!({"lease_s": 60, "renew_s": 60});
    value["drain_ms"] = json!(10);
    value["colour"] = json!(true);
    value["secrets"]["operator_tokens"] = json!(["good", "", 7]);
    let expected = [
        "colour",
        "drain_ms",
        "listen.admin",
        "listen.callers",
        "log",
        "platform.address",
        "platform.timeout_ms",
        "secrets.operator_tokens[1]",
        "secrets.operator_tokens[2]",
        "session.renew_s",
        "threads",
        "traces.sample",
        "traces.smaple",
        "vm",
    ];
    assert_eq!(paths(&value), expected);
}

/// Guards against a duplicate field whose first value is silently ignored.
#[test]
fn duplicate_fields_are_reported() {
    let text = minimal().to_string();
    let duplicated =
        text.replacen('{', r#"{"threads": 1, "threads": 2, "log": {"level": 1, "level": 2},"#, 1);
    let error = Settings::parse(&duplicated).expect_err("duplicate fields");
    let paths: Vec<&str> = error.problems().iter().map(|p| &*p.path).collect();
    assert_eq!(paths, ["threads", "log.level", "log.level"]);
}

/// Guards against secrets in logs and error messages.
#[test]
fn secrets_are_not_printed() {
    let settings = Settings::parse(&minimal().to_string()).expect("valid settings");
    assert!(!format!("{settings:?}").contains("hush"));
    let mut value = minimal();
    value["secrets"] = json!({"fleet": ["hush"], "operator_tokens": "hush", "more": "hush"});
    let error = Settings::parse(&value.to_string()).expect_err("wrong types");
    assert_eq!(error.problems().len(), 3);
    assert!(!error.to_string().contains("hush"), "{error}");
}

/// Guards against a required setting that silently gets a default value, and against accepting a
/// file that is not a JSON object.
#[test]
fn empty_and_invalid_files_are_rejected() {
    let required =
        SETTINGS.iter().filter(|s| s.default == settings::DefaultValue::Required).count();
    assert_eq!(paths(&json!({})).len(), required);
    assert_eq!(paths(&json!([])), ["(root)"]);
    let error = Settings::parse("{\"vm\": ").expect_err("invalid JSON");
    assert!(error.to_string().contains("line 1"), "{error}");
}

/// Guards against a page whose table differs from the code.
#[test]
fn documented_table_matches_the_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/settings.md");
    let page = std::fs::read_to_string(path).expect("docs/settings.md");
    let table: String =
        page.lines().filter(|line| line.starts_with('|')).map(|l| format!("{l}\n")).collect();
    assert_eq!(table, settings_table());
}
