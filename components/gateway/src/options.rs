use std::path::Path;
use std::time::Duration;

use serde_json::{Map, Value};
use settings::{Problem, SettingsError};

/// Describes one timing in the settings file of the gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OptionInfo {
    /// Name of the setting in the file.
    pub name: &'static str,
    /// Value if the file does not set it.
    pub default_ms: u64,
    /// Minimum and maximum value.
    pub bounds_ms: (u64, u64),
    /// What the setting controls.
    pub description: &'static str,
}

macro_rules! options {
    ($($field:ident, $name:literal, $default_ms:literal, $min:literal..=$max:literal, $description:literal;)*) => {
        /// Timings of a gateway.
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct Options {
            $(#[doc = $description] pub $field: Duration,)*
        }

        /// All timings, with the defaults and bounds that `Options::read` applies.
        pub const OPTIONS: &[OptionInfo] = &[$(OptionInfo {
            name: $name, default_ms: $default_ms, bounds_ms: ($min, $max), description: $description,
        },)*];

        impl Default for Options {
            fn default() -> Self {
                Options { $($field: Duration::from_millis($default_ms),)* }
            }
        }

        impl TryFrom<Map<String, Value>> for Options {
            type Error = Vec<Problem>;

            fn try_from(mut raw: Map<String, Value>) -> Result<Self, Vec<Problem>> {
                let mut problems = Vec::new();
                let options = Options { $($field: take(&mut raw, $name, &mut problems),)* };
                problems.extend(raw.keys().map(|name| problem(
                    name, "an unknown field", "remove it or correct its name",
                )));
                if problems.is_empty() { Ok(options) } else { Err(problems) }
            }
        }
    };
}

options! {
    connect_timeout, "connect_ms", 350, 50..=5000,
        "Timeout for connecting to a backend server in the own region. A lost packet is retransmitted after 200 ms or more.";
    remote_connect_timeout, "connect_remote_ms", 450, 50..=5000,
        "Timeout for connecting to a backend server in another region, with a round trip of 60 ms.";
    long_poll_wait, "feed_wait_ms", 1500, 100..=2000,
        "Time for which the store holds a long poll for changes. It bounds the age of confirmed data, and stays below the 2.5 s within which a change must be in force.";
    store_timeout, "store_answer_ms", 700, 50..=10_000,
        "Timeout for a response of the store, on top of the wait of a long poll. It responds in 4 ms and may be sixty times slower.";
    page_timeout, "store_page_ms", 2000, 50..=30_000,
        "Time added to the timeout for a page of a table: hundreds of routes may cross a saturated link between regions.";
    store_backoff, "store_pause_ms", 250, 10..=10_000,
        "Backoff after a failed call to the store; grows with each failure.";
    max_store_backoff, "store_pause_most_ms", 1000, 10..=60_000,
        "Maximum backoff after failed calls to the store.";
    recovery_grace, "return_grace_ms", 2200, 0..=10_000,
        "Grace period in which backend servers that are missing right after an outage of the store stay in use. They register again within about 2 s.";
    resolve_ttl, "entry_ttl_ms", 2000, 200..=60_000,
        "Time for which callers may cache the addresses of VMs; limited by the platform's bound.";
    non_idempotent_idle, "idle_once_ms", 1500, 0..=60_000,
        "Idle time after which a connection is not reused for a request that may run only once.";
    max_idle, "idle_most_ms", 4000, 0..=60_000,
        "Idle time after which a connection to a backend server is closed.";
    leader_heartbeat, "beat_home_ms", 200, 50..=600,
        "Heartbeat interval of a leader; standbys take over after 700 ms without one.";
    standby_heartbeat, "beat_standby_ms", 1000, 100..=3000,
        "Heartbeat interval of a standby, which counts as lost after 3.5 s without one.";
    demand_interval, "report_ms", 1000, 100..=3000,
        "Interval of reporting demand to the leaders of other failure domains; a report is valid for 3.5 s.";
}

fn problem(path: &str, found: impl Into<Box<str>>, remedy: impl Into<Box<str>>) -> Problem {
    Problem { path: path.into(), found: found.into(), remedy: remedy.into() }
}

/// Removes a value from `raw` and returns it, or the default if it is absent or invalid. An invalid
/// value is added to `problems`, which makes the whole file invalid.
fn take(raw: &mut Map<String, Value>, name: &str, problems: &mut Vec<Problem>) -> Duration {
    let Some(info) = OPTIONS.iter().find(|info| info.name == name) else {
        return Duration::ZERO;
    };
    let (min, max) = info.bounds_ms;
    let millis = match raw.remove(name) {
        None => info.default_ms,
        Some(value) => match value.as_u64().filter(|millis| (min..=max).contains(millis)) {
            Some(millis) => millis,
            None => {
                let remedy = format!("set it to a whole number of ms from {min} to {max}");
                problems.push(problem(name, value.to_string(), remedy));
                info.default_ms
            }
        },
    };
    Duration::from_millis(millis)
}

impl Options {
    /// Reads and checks a settings file of the gateway; all problems are reported at once.
    pub fn read(path: &Path) -> Result<Options, SettingsError> {
        let text = std::fs::read(path).map_err(|source| SettingsError::Read {
            path: path.display().to_string().into(),
            source,
        })?;
        let raw: Map<String, Value> =
            serde_json::from_slice(&text).map_err(SettingsError::Syntax)?;
        Options::try_from(raw).map_err(SettingsError::Invalid)
    }
}

/// The table of all timings in Markdown, as `docs/gateway-settings.md` has it.
pub fn options_table() -> String {
    let mut table = String::from("| setting | default | bounds | meaning |\n|---|---|---|---|\n");
    for OptionInfo { name, default_ms, bounds_ms: (min, max), description } in OPTIONS {
        table += &format!("| `{name}` | {default_ms} | {min} to {max} | {description} |\n");
    }
    table
}
