use std::fmt;

/// Value of a setting that the file does not name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Preset {
    /// The file must name it.
    Required,
    /// The setting may be absent.
    Absent,
    /// A text.
    Text(&'static str),
    /// A whole number.
    Whole(u64),
    /// A number.
    Real(f64),
    /// Computed from another setting, as described.
    Derived(&'static str),
}

/// Values that a setting may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bounds {
    /// 1 to 64 characters, each a letter, a digit, `-`, `_` or `.`.
    Name,
    /// Any text but the empty one.
    Text,
    /// An IP address and a port.
    Address,
    /// A list of non-empty texts.
    Texts,
    /// One of these words.
    Words(&'static [&'static str]),
    /// A whole number from the first to the second.
    Whole(u64, u64),
    /// A number from the first to the second.
    Real(f64, f64),
}

/// Description of one setting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SettingInfo {
    /// Path in the file, such as `listen.callers`.
    pub path: &'static str,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Value if the file does not name it.
    pub preset: Preset,
    /// Values it may have.
    pub bounds: Bounds,
    /// What it sets.
    pub meaning: &'static str,
}

const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

macro_rules! settings {
    ($($path:literal, $unit:literal, $preset:expr, $bounds:expr, $meaning:literal;)*) => {
        /// Every setting. The check takes defaults and bounds from here.
        pub const SETTINGS: &[SettingInfo] = &[$(SettingInfo {
            path: $path, unit: $unit, preset: $preset, bounds: $bounds, meaning: $meaning,
        },)*];
    };
}

settings! {
    "vm", "", Preset::Required, Bounds::Name, "Name of this VM.";
    "place.region", "", Preset::Required, Bounds::Name, "Region of this VM.";
    "place.domain", "", Preset::Required, Bounds::Name, "Failure domain of this VM.";
    "listen.callers", "", Preset::Required, Bounds::Address, "Address for callers.";
    "listen.peers", "", Preset::Required, Bounds::Address, "Address for other VMs.";
    "listen.operators", "", Preset::Required, Bounds::Address, "Address for operators.";
    "listen.admin", "", Preset::Required, Bounds::Address, "Address for metrics and health.";
    "platform.adapter", "", Preset::Text("http"), Bounds::Name, "Platform plug-in.";
    "platform.address", "", Preset::Required, Bounds::Address, "Address of the platform.";
    "platform.timeout_ms", "ms", Preset::Whole(2000), Bounds::Whole(10, 60_000),
        "Longest wait for an answer of the platform.";
    "secrets.fleet", "", Preset::Required, Bounds::Text, "Secret that all VMs share.";
    "secrets.operator_tokens", "", Preset::Absent, Bounds::Texts,
        "Tokens of operators; without one, no operator is authorised.";
    "plugins.balancer", "", Preset::Text("homes"), Bounds::Name, "Balancer plug-in.";
    "plugins.detector", "", Preset::Text("evidence"), Bounds::Name, "Detector plug-in.";
    "plugins.limiter", "", Preset::Text("shares"), Bounds::Name, "Limiter plug-in.";
    "plugins.queue", "", Preset::Text("fair"), Bounds::Name, "Queue plug-in.";
    "threads", "", Preset::Whole(2), Bounds::Whole(1, 64), "Worker threads.";
    "seed", "", Preset::Absent, Bounds::Whole(0, u64::MAX),
        "Seed of the random generator; absent means a random seed.";
    "log.format", "", Preset::Text("json"), Bounds::Words(&["json", "text"]),
        "Form of the log lines.";
    "log.level", "", Preset::Text("info"), Bounds::Words(LEVELS), "Least severe level logged.";
    "log.file", "", Preset::Absent, Bounds::Text, "Log file; absent means standard error.";
    "traces.endpoint", "", Preset::Absent, Bounds::Address,
        "OTLP collector over HTTP; absent means no traces.";
    "traces.sample", "", Preset::Real(0.0), Bounds::Real(0.0, 1.0),
        "Part of the new traces that is recorded.";
    "limits.head_bytes", "bytes", Preset::Whole(16_384), Bounds::Whole(8192, 1 << 20),
        "Largest head of a request.";
    "limits.body_bytes", "bytes", Preset::Whole(8 << 20), Bounds::Whole(0, 1 << 30),
        "Largest body of a request.";
    "limits.head_timeout_ms", "ms", Preset::Whole(5000), Bounds::Whole(100, 60_000),
        "Longest wait for the head of a request.";
    "limits.connections", "", Preset::Whole(4096), Bounds::Whole(1, 65_536),
        "Most connections of callers at once.";
    "entry.ttl_ms", "ms", Preset::Whole(5000), Bounds::Whole(100, 600_000),
        "Time that a caller may keep an entry response.";
    "entry.homes", "", Preset::Whole(3), Bounds::Whole(1, 16), "Addresses in an entry response.";
    "session.lease_s", "s", Preset::Whole(14_400), Bounds::Whole(60, 86_400),
        "Lease of this process start in the table.";
    "session.renew_s", "s", Preset::Whole(10), Bounds::Whole(1, 3600),
        "Interval of lease renewals; at most a third of the lease.";
    "freshness.fresh_ms", "ms", Preset::Whole(5000), Bounds::Whole(500, 60_000),
        "Time that a confirmed configuration counts as the newest.";
    "freshness.stale_s", "s", Preset::Whole(14_400), Bounds::Whole(1, 86_400),
        "Longest service with a configuration that nobody can confirm.";
    "drain_ms", "ms", Preset::Derived("entry.ttl_ms + 1000"), Bounds::Whole(0, 3_600_000),
        "Time that a stopping VM still takes new requests; at least `entry.ttl_ms`.";
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Preset::Required => f.write_str("required"),
            Preset::Absent => f.write_str("absent"),
            Preset::Text(text) => write!(f, "`{text}`"),
            Preset::Whole(number) => write!(f, "{number}"),
            Preset::Real(number) => write!(f, "{number}"),
            Preset::Derived(text) => write!(f, "`{text}`"),
        }
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bounds::Name => f.write_str("1 to 64 letters, digits, `-`, `_` or `.`"),
            Bounds::Text => f.write_str("a non-empty text"),
            Bounds::Address => f.write_str("an IP address and port such as 127.0.0.1:8080"),
            Bounds::Texts => f.write_str("a list of non-empty texts"),
            Bounds::Words(words) => write!(f, "one of {}", words.join(", ")),
            Bounds::Whole(low, high) => write!(f, "a whole number from {low} to {high}"),
            Bounds::Real(low, high) => write!(f, "a number from {low} to {high}"),
        }
    }
}

/// The table of all settings in Markdown, as `docs/settings.md` has it.
pub fn settings_table() -> String {
    let mut text =
        String::from("| setting | unit | default | bounds | meaning |\n|---|---|---|---|---|\n");
    for SettingInfo { path, unit, preset, bounds, meaning } in SETTINGS {
        text += &format!("| `{path}` | {unit} | {preset} | {bounds} | {meaning} |\n");
    }
    text
}
