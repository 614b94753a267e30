use std::fmt;
use std::io;
use std::time::SystemTime;

use anyhow::Context;
use fern::{Dispatch, FormatCallback};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, json};
use settings::{Log, LogFormat};

use crate::event::TARGET;

/// Sets up the logger of this process. Fails if the log file cannot be opened or a logger is
/// already set.
pub fn init_logs(log: &Log) -> anyhow::Result<()> {
    let dispatch = log_dispatch(log)?;
    let dispatch = match &log.file {
        Some(path) => {
            let file = fern::log_file(path)
                .with_context(|| format!("cannot open the log file {}", path.display()))?;
            dispatch.chain(file)
        }
        None => dispatch.chain(io::stderr()),
    };
    dispatch.apply().context("a logger is already set; call init_logs once per process")
}

/// Builds a logger with the format and level of the settings, without an output.
pub fn log_dispatch(log: &Log) -> anyhow::Result<Dispatch> {
    let level: LevelFilter = log.level.parse().with_context(|| {
        format!("invalid log level {:?}; use error, warn, info, debug or trace", log.level)
    })?;
    let format = match log.format {
        LogFormat::Json => json_line,
        LogFormat::Text => text_line,
    };
    // The crate `tracing` writes spans to the log while it has no subscriber.
    let is_no_span = |meta: &log::Metadata<'_>| !meta.target().starts_with("tracing::");
    Ok(Dispatch::new().level(level).filter(is_no_span).format(format))
}

/// Collects the fields of a record as JSON values.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_i64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else if let Some(boolean) = value.to_bool() {
            json!(boolean)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Map<String, serde_json::Value> {
    let mut fields = Fields::default();
    // The visitor returns no error.
    drop(record.key_values().visit(&mut fields));
    fields.0
}

fn now() -> humantime::Rfc3339Timestamp {
    humantime::format_rfc3339_millis(SystemTime::now())
}

fn json_line(out: FormatCallback<'_>, message: &fmt::Arguments<'_>, record: &Record<'_>) {
    let mut fields = fields(record);
    let mut line = Map::new();
    line.insert("time".into(), json!(now().to_string()));
    line.insert("level".into(), json!(record.level().as_str().to_lowercase()));
    if record.target() == TARGET {
        for name in ["event", "name", "dropped"] {
            line.extend(fields.remove(name).map(|value| (name.to_owned(), value)));
        }
    } else {
        line.insert("target".into(), json!(record.target()));
    }
    line.insert("message".into(), json!(message.to_string()));
    if !fields.is_empty() {
        line.insert("fields".into(), fields.into());
    }
    out.finish(format_args!("{}", serde_json::Value::Object(line)));
}

fn text_line(out: FormatCallback<'_>, message: &fmt::Arguments<'_>, record: &Record<'_>) {
    let mut fields = fields(record);
    let label = match (fields.remove("event"), fields.remove("name")) {
        (Some(number), Some(serde_json::Value::String(name))) => format!("{number} {name}"),
        _ => record.target().to_owned(),
    };
    let fields: String = fields.iter().map(|(key, value)| format!(" {key}={value}")).collect();
    // A line break in a message must not start what looks like a separate record.
    let message = message.to_string().replace(['\n', '\r'], " ");
    out.finish(format_args!("{} {:5} {label}: {message}{fields}", now(), record.level()));
}
