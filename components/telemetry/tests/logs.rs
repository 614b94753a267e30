//! Tests of log lines and of the rate limit on events.

use std::sync::mpsc;
use std::time::Duration;

use log::kv::Value;
use settings::{Log, LogFormat};
use telemetry::{EventRateLimiter, RateDecision, events, log_dispatch, write_event};

fn lines(format: LogFormat, level: &str, record: impl FnOnce(&dyn log::Log)) -> Vec<String> {
    let (sender, receiver) = mpsc::channel();
    let settings = Log { format, level: level.into(), file: None };
    let (_, logger) = log_dispatch(&settings).expect("level").chain(sender).into_log();
    record(&*logger);
    drop(logger);
    receiver.iter().collect()
}

fn peer_dead(logger: &dyn log::Log) {
    let fields = [("vm", Value::from("a\"b\nc")), ("incarnation", Value::from(u64::MAX))];
    write_event(logger, &events::PEER_DEAD, 3, &fields);
}

/// Guards against JSON lines that cannot be parsed or lose the number or fields of an event.
#[test]
fn json_line_has_number_and_fields() {
    let lines = lines(LogFormat::Json, "info", peer_dead);
    assert_eq!(lines.len(), 1);
    let line: serde_json::Value = serde_json::from_str(&lines[0]).expect("JSON");
    assert_eq!((&line["event"], &line["name"]), (&203.into(), &"peer-dead".into()));
    assert_eq!((&line["level"], &line["dropped"]), (&"warn".into(), &3.into()));
    assert_eq!(line["fields"]["vm"], "a\"b\nc");
    assert_eq!(line["fields"]["incarnation"], u64::MAX);
}

/// Guards against a field with a line break that forges a separate log line.
#[test]
fn text_line_stays_one_line() {
    let lines = lines(LogFormat::Text, "info", peer_dead);
    let line = lines[0].trim_end();
    assert!(line.contains("WARN  203 peer-dead: ") && line.contains(r#" vm="a\"b\nc""#), "{line}");
    assert_eq!(line.lines().count(), 1);
}

/// Guards against spans in the log, and a log level that is not applied.
#[test]
fn spans_and_lower_levels_are_left_out() {
    let record = |logger: &dyn log::Log| {
        write_event(logger, &events::STARTED, 0, &[]);
        let span = log::Record::builder().target("tracing::span").level(log::Level::Error).build();
        logger.log(&span);
    };
    assert!(lines(LogFormat::Json, "warn", record).is_empty());
    let wrong = Log { format: LogFormat::Json, level: "loud".into(), file: None };
    assert!(log_dispatch(&wrong).is_err());
}

/// Guards against a repeated event that floods the log, or is dropped without being counted.
#[test]
fn repeated_events_are_limited_and_counted() {
    let mut limiter = EventRateLimiter::default();
    let now = Duration::from_secs(100);
    let logged = (0..60).filter(|_| limiter.admit(now, 1) != RateDecision::Drop).count();
    assert_eq!(logged, 50);
    assert_eq!(
        limiter.admit(now, 2),
        RateDecision::Log { dropped: 0 },
        "another event is not limited"
    );
    let later = now + Duration::from_secs(10);
    assert_eq!(limiter.admit(later, 1), RateDecision::Log { dropped: 10 });
    assert_eq!(limiter.admit(later, 1), RateDecision::Log { dropped: 0 });
}

/// Guards against an event macro that does not accept the usual types.
#[test]
fn macro_accepts_numbers_booleans_and_strings() {
    let vm: Box<str> = "vm-1".into();
    telemetry::event!(PEER_JOINED, vm = vm, incarnation = 7_u64, share = 0.5, known = true);
    telemetry::event!(STOPPED);
}
