//! Tests of the catalogue of events.

use std::collections::BTreeSet;

use telemetry::events::EVENTS;
use telemetry::events_table;

/// Guards against a difference between the events in the code and in `docs/events.md`.
#[test]
fn page_and_code_have_the_same_events() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/events.md");
    let page = std::fs::read_to_string(path).expect("docs/events.md");
    let code = events_table();
    let page: Vec<&str> = page.lines().filter(|line| line.starts_with('|')).collect();
    let code: Vec<&str> = code.lines().collect();
    let only = |a: &[&str], b: &[&str]| -> Vec<String> {
        a.iter().filter(|line| !b.contains(line)).map(|line| (*line).to_owned()).collect()
    };
    assert_eq!(only(&code, &page), Vec::<String>::new(), "missing in docs/events.md");
    assert_eq!(only(&page, &code), Vec::<String>::new(), "only in docs/events.md");
    assert_eq!(page, code, "repeated or in another order in docs/events.md");
}

/// Guards against two events with the same number or name.
#[test]
fn numbers_and_names_are_unique() {
    assert!(EVENTS.is_sorted_by(|a, b| a.number < b.number));
    let names: BTreeSet<&str> = EVENTS.iter().map(|event| event.name).collect();
    assert_eq!(names.len(), EVENTS.len());
}
