use std::path::Path;
use std::time::Duration;

use serde_json::{Map, Value};
use settings::{Problem, SettingsError};

/// Description of one timing in the settings file of the gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OptionInfo {
    /// Name in the file; the value is in milliseconds.
    pub name: &'static str,
    /// Value if the file does not name it, in milliseconds.
    pub preset: u64,
    /// Least and largest value, in milliseconds.
    pub bounds: (u64, u64),
    /// What it sets.
    pub meaning: &'static str,
}

macro_rules! options {
    ($($field:ident, $name:literal, $preset:literal, $least:literal..=$most:literal, $meaning:literal;)*) => {
        /// Timings of a gateway.
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct Options {
            $(#[doc = $meaning] pub $field: Duration,)*
        }

        /// Every timing. The check takes defaults and bounds from here.
        pub const OPTIONS: &[OptionInfo] = &[$(OptionInfo {
            name: $name, preset: $preset, bounds: ($least, $most), meaning: $meaning,
        },)*];

        impl Default for Options {
            fn default() -> Self {
                Options { $($field: Duration::from_millis($preset),)* }
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
    connect, "connect_ms", 350, 50..=5000,
        "Longest wait for a connection to a backend server of the own region. A lost packet is sent again after 200 ms or more.";
    connect_remote, "connect_remote_ms", 450, 50..=5000,
        "Longest wait for a connection to a backend server of another region, 60 ms away and back.";
    feed_wait, "feed_wait_ms", 1500, 100..=2000,
        "Time for which a feed of the store is asked to wait: the age of confirmed knowledge, below the 2.5 s in which a change must be in force.";
    store_answer, "store_answer_ms", 700, 50..=10_000,
        "Longest wait for an answer of the store, beside the wait of a feed. It answers in 4 ms and may be sixty times slower.";
    store_page, "store_page_ms", 2000, 50..=30_000,
        "Longest wait for a page of a table, beside that for an answer: hundreds of routes cross a link between regions that others fill.";
    store_pause, "store_pause_ms", 250, 10..=10_000,
        "Pause after a failed call to the store; longer with each failure.";
    store_pause_most, "store_pause_most_ms", 1000, 10..=60_000,
        "Longest pause after failed calls to the store.";
    return_grace, "return_grace_ms", 2200, 0..=10_000,
        "Time for which backend servers that are missing right after the store returned stay in use: they enter themselves again within about 2 s.";
    entry_ttl, "entry_ttl_ms", 2000, 200..=60_000,
        "Time for which callers keep an entry answer; the platform's bound wins if it is shorter.";
    idle_once, "idle_once_ms", 1500, 0..=60_000,
        "Idle time after which a connection carries no request that may not repeat.";
    idle_most, "idle_most_ms", 4000, 0..=60_000,
        "Idle time after which a connection to a backend server is closed.";
    beat_home, "beat_home_ms", 200, 50..=600,
        "Time between two heartbeats of a home; standbys take over after 700 ms of silence.";
    beat_standby, "beat_standby_ms", 1000, 100..=3000,
        "Time between two heartbeats of a standby, which counts as lost after 3.5 s.";
    report, "report_ms", 1000, 100..=3000,
        "Time between two reports of demand to other homes; a report counts for 3.5 s.";
}

fn problem(path: &str, found: impl Into<Box<str>>, remedy: impl Into<Box<str>>) -> Problem {
    Problem { path: path.into(), found: found.into(), remedy: remedy.into() }
}

/// Takes a value out of the file, or its default. After a problem the default stands in; the
/// problem makes the check fail.
fn take(raw: &mut Map<String, Value>, name: &str, problems: &mut Vec<Problem>) -> Duration {
    let Some(info) = OPTIONS.iter().find(|info| info.name == name) else {
        return Duration::ZERO;
    };
    let (least, most) = info.bounds;
    let millis = match raw.remove(name) {
        None => info.preset,
        Some(value) => match value.as_u64().filter(|millis| (least..=most).contains(millis)) {
            Some(millis) => millis,
            None => {
                let remedy = format!("set it to a whole number of ms from {least} to {most}");
                problems.push(problem(name, value.to_string(), remedy));
                info.preset
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
    for OptionInfo { name, preset, bounds: (least, most), meaning } in OPTIONS {
        table += &format!("| `{name}` | {preset} | {least} to {most} | {meaning} |\n");
    }
    table
}
