use std::fmt;

/// Value of a setting that is absent from the file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// The setting must be in the file.
    Required,
    /// The setting may be absent and has no default value.
    Absent,
    /// A text.
    Text(&'static str),
    /// An integer.
    Integer(u64),
    /// A number.
    Float(f64),
    /// Computed from another setting by this formula.
    Derived(&'static str),
}

/// Values that a setting may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Constraint {
    /// 1 to 64 characters, each a letter, a digit, `-`, `_` or `.`.
    Name,
    /// A non-empty text.
    Text,
    /// An IP address and a port.
    Address,
    /// A list of non-empty texts.
    TextList,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// An integer from the first to the second, inclusive.
    Integer(u64, u64),
    /// A number from the first to the second, inclusive.
    Float(f64, f64),
}

/// Description of one setting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SettingInfo {
    /// Path in the file, such as `listen.callers`.
    pub path: &'static str,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Value if the setting is absent.
    pub default: DefaultValue,
    /// Values that are allowed.
    pub constraint: Constraint,
    /// Meaning of the setting.
    pub description: &'static str,
}

const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

macro_rules! settings {
    ($($path:literal, $unit:literal, $default:expr, $constraint:expr, $description:literal;)*) => {
        /// Every setting. The check uses the default values and constraints of this table.
        pub const SETTINGS: &[SettingInfo] = &[$(SettingInfo {
            path: $path, unit: $unit, default: $default, constraint: $constraint, description: $description,
        },)*];
    };
}

settings! {
    "vm", "", DefaultValue::Required, Constraint::Name, "Name of this VM.";
    "place.region", "", DefaultValue::Required, Constraint::Name, "Region of this VM.";
    "place.domain", "", DefaultValue::Required, Constraint::Name, "Failure domain of this VM.";
    "listen.callers", "", DefaultValue::Required, Constraint::Address, "Address for callers.";
    "listen.peers", "", DefaultValue::Required, Constraint::Address, "Address for other VMs.";
    "listen.operators", "", DefaultValue::Required, Constraint::Address, "Address for operators.";
    "listen.admin", "", DefaultValue::Required, Constraint::Address, "Address for metrics and health.";
    "platform.adapter", "", DefaultValue::Text("http"), Constraint::Name, "Platform plug-in.";
    "platform.address", "", DefaultValue::Required, Constraint::Address, "Address of the platform.";
    "platform.timeout_ms", "ms", DefaultValue::Integer(2000), Constraint::Integer(10, 60_000),
        "Timeout of a request to the platform.";
    "secrets.fleet", "", DefaultValue::Required, Constraint::Text, "Secret that all VMs share.";
    "secrets.operator_tokens", "", DefaultValue::Absent, Constraint::TextList,
        "Tokens of operators; without one, no operator is authorised.";
    "plugins.balancer", "", DefaultValue::Text("homes"), Constraint::Name, "Balancer plug-in.";
    "plugins.detector", "", DefaultValue::Text("evidence"), Constraint::Name, "Detector plug-in.";
    "plugins.limiter", "", DefaultValue::Text("shares"), Constraint::Name, "Limiter plug-in.";
    "plugins.queue", "", DefaultValue::Text("fair"), Constraint::Name, "Queue plug-in.";
    "threads", "", DefaultValue::Integer(2), Constraint::Integer(1, 64), "Worker threads.";
    "seed", "", DefaultValue::Absent, Constraint::Integer(0, u64::MAX),
        "Seed of the random number generator; absent means a random seed.";
    "log.format", "", DefaultValue::Text("json"), Constraint::OneOf(&["json", "text"]),
        "Format of the log lines.";
    "log.level", "", DefaultValue::Text("info"), Constraint::OneOf(LEVELS), "Lowest severity that is logged.";
    "log.file", "", DefaultValue::Absent, Constraint::Text, "Log file; absent means standard error.";
    "traces.endpoint", "", DefaultValue::Absent, Constraint::Address,
        "Address of an OTLP collector over HTTP; absent disables traces.";
    "traces.sample", "", DefaultValue::Float(0.0), Constraint::Float(0.0, 1.0),
        "Fraction of new traces that are recorded.";
    "limits.head_bytes", "bytes", DefaultValue::Integer(16_384), Constraint::Integer(8192, 1 << 20),
        "Maximum size of a request head.";
    "limits.body_bytes", "bytes", DefaultValue::Integer(8 << 20), Constraint::Integer(0, 1 << 30),
        "Maximum size of a request body.";
    "limits.head_timeout_ms", "ms", DefaultValue::Integer(5000), Constraint::Integer(100, 60_000),
        "Timeout for receiving a request head.";
    "limits.connections", "", DefaultValue::Integer(4096), Constraint::Integer(1, 65_536),
        "Maximum number of open connections of callers.";
    "entry.ttl_ms", "ms", DefaultValue::Integer(5000), Constraint::Integer(100, 600_000),
        "How long a caller may cache an entry response.";
    "entry.homes", "", DefaultValue::Integer(3), Constraint::Integer(1, 16), "Maximum number of VM addresses in an entry response.";
    "session.lease_s", "s", DefaultValue::Integer(14_400), Constraint::Integer(60, 86_400),
        "Duration of the lease of this process in the table.";
    "session.renew_s", "s", DefaultValue::Integer(10), Constraint::Integer(1, 3600),
        "Interval between lease renewals; at most a third of the lease.";
    "freshness.fresh_ms", "ms", DefaultValue::Integer(5000), Constraint::Integer(500, 60_000),
        "How long a confirmed configuration counts as the newest.";
    "freshness.stale_s", "s", DefaultValue::Integer(14_400), Constraint::Integer(1, 86_400),
        "How long requests are served with a configuration that cannot be confirmed.";
    "drain_ms", "ms", DefaultValue::Derived("entry.ttl_ms + 1000"), Constraint::Integer(0, 3_600_000),
        "How long a stopping VM still accepts new requests; at least `entry.ttl_ms`.";
    "finish_ms", "ms", DefaultValue::Integer(30_000), Constraint::Integer(100, 3_600_000),
        "How long a stopping VM waits for requests in progress after `drain_ms`; then it answers them with 503 and the outcome `unknown`.";
}

impl fmt::Display for DefaultValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DefaultValue::Required => f.write_str("required"),
            DefaultValue::Absent => f.write_str("absent"),
            DefaultValue::Text(text) => write!(f, "`{text}`"),
            DefaultValue::Integer(number) => write!(f, "{number}"),
            DefaultValue::Float(number) => write!(f, "{number}"),
            DefaultValue::Derived(text) => write!(f, "`{text}`"),
        }
    }
}

impl fmt::Display for Constraint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Constraint::Name => f.write_str("1 to 64 letters, digits, `-`, `_` or `.`"),
            Constraint::Text => f.write_str("a non-empty text"),
            Constraint::Address => f.write_str("an IP address and port such as 127.0.0.1:8080"),
            Constraint::TextList => f.write_str("a list of non-empty texts"),
            Constraint::OneOf(words) => write!(f, "one of {}", words.join(", ")),
            Constraint::Integer(min, max) => write!(f, "a whole number from {min} to {max}"),
            Constraint::Float(min, max) => write!(f, "a number from {min} to {max}"),
        }
    }
}

/// The Markdown table of all settings in `docs/settings.md`.
pub fn settings_table() -> String {
    let mut text =
        String::from("| setting | unit | default | bounds | meaning |\n|---|---|---|---|---|\n");
    for SettingInfo { path, unit, default, constraint, description } in SETTINGS {
        text += &format!("| `{path}` | {unit} | {default} | {constraint} | {description} |\n");
    }
    text
}
