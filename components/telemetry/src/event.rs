use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::Instant;

use log::kv::Value;
use log::{Level, Log, Record};

use crate::events::EVENTS;
use crate::{EventRateLimiter, RateDecision};

/// A numbered event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Unique number, never reused.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Unique short name.
    pub name: &'static str,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator should do.
    pub action: &'static str,
}

/// Target of the log records of events.
pub(crate) const TARGET: &str = "event";

static RATE_LIMITER: LazyLock<(Instant, Mutex<EventRateLimiter>)> =
    LazyLock::new(|| (Instant::now(), Mutex::default()));

/// Logs an event with fields, such as `event!(PEER_DEAD, vm = name, incarnation = number)`.
///
/// Values are numbers, booleans and strings. Events are rate-limited: dropped records are counted,
/// and the next record of the event has the count in the field `dropped`.
#[macro_export]
macro_rules! event {
    ($event:ident $(, $name:ident = $value:expr)* $(,)?) => {
        $crate::emit(
            &$crate::events::$event,
            &[$((stringify!($name), $crate::log::kv::ToValue::to_value(&$value)),)*],
        )
    };
}

/// Logs an event through the logger of this process, subject to the rate limit.
pub fn emit(event: &Event, fields: &[(&str, Value<'_>)]) {
    if event.level > log::max_level() {
        return;
    }
    let (start, limiter) = &*RATE_LIMITER;
    let decision = {
        let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.admit(start.elapsed(), event.number)
    };
    if let RateDecision::Log { dropped } = decision {
        write_event(log::logger(), event, dropped, fields);
    }
}

/// Writes the record of an event to a logger. `dropped` is the number of its records that were
/// dropped since the last one.
pub fn write_event(logger: &dyn Log, event: &Event, dropped: u64, fields: &[(&str, Value<'_>)]) {
    let mut all = vec![("event", Value::from(event.number)), ("name", Value::from(event.name))];
    all.extend_from_slice(fields);
    if dropped > 0 {
        all.push(("dropped", Value::from(dropped)));
    }
    let all = all.as_slice();
    logger.log(
        &Record::builder()
            .level(event.level)
            .target(TARGET)
            .key_values(&all)
            .args(format_args!("{}", event.meaning))
            .build(),
    );
}

/// The catalogue of events as the Markdown table of `docs/events.md`.
pub fn events_table() -> String {
    let mut text = String::from(
        "| number | level | name | meaning | what an operator does |\n|---|---|---|---|---|\n",
    );
    for Event { number, level, name, meaning, action } in EVENTS {
        let level = level.as_str().to_lowercase();
        text += &format!("| {number} | {level} | {name} | {meaning} | {action} |\n");
    }
    text
}
