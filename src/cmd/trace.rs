use std::io::Read;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use argh::FromArgs;
use serde::Deserialize;
use serde_json::{Map, Value};

use super::table::render_table;

/// Span around a failed attempt in which other failures of the same backend server belong to one
/// gray spell: the usual length of a spell.
const SPELL: Duration = Duration::from_secs(8);
/// Failures of other requests within a spell from which it is one, and no ordinary error.
const SPELL_FAILURES: usize = 2;

/// Follows a request through the log lines of gateways on standard input, and names the cause.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Args {
    /// request id
    #[argh(positional)]
    request: String,
}

/// A log line of a gateway.
#[derive(Deserialize)]
struct Line {
    name: String,
    #[serde(default)]
    fields: Map<String, Value>,
    #[serde(default)]
    time: String,
    /// Text before the JSON, such as the file name that `grep -H` writes.
    #[serde(skip)]
    source: String,
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let start = text.find('{')?;
        let mut line: Line = serde_json::from_str(text.get(start..)?).ok()?;
        line.source = text.get(..start)?.trim().trim_end_matches(':').to_owned();
        Some(line)
    }

    fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }

    fn at(&self) -> Option<SystemTime> {
        humantime::parse_rfc3339(&self.time).ok()
    }

    fn is_near(&self, other: &Line) -> bool {
        let (Some(a), Some(b)) = (self.at(), other.at()) else { return false };
        let apart = a.duration_since(b).or_else(|_| b.duration_since(a));
        apart.is_ok_and(|apart| apart <= SPELL)
    }
}

/// Runs the subcommand.
pub fn run(args: Args) -> Result<ExitCode> {
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).context("cannot read standard input")?;
    match trace(&text, &args.request) {
        Some(story) => {
            print!("{story}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            eprintln!(
                "papayareel: no line names request {}; its VM was killed, or it was served and not \
                 sampled: look for events 101, 102 and 921 at that time",
                args.request
            );
            Ok(ExitCode::FAILURE)
        }
    }
}

/// The lines of a request and its cause; none if no line names it.
fn trace(text: &str, request: &str) -> Option<String> {
    let lines: Vec<Line> = text.lines().filter_map(Line::parse).collect();
    let mut own: Vec<&Line> = lines.iter().filter(|l| l.field("request") == request).collect();
    own.sort_by(|a, b| a.time.cmp(&b.time));
    let rows: Vec<Vec<String>> = own
        .iter()
        .map(|line| {
            let fields = line.fields.iter().filter(|(name, _)| *name != "request");
            let fields: Vec<String> =
                fields.map(|(n, _)| format!("{n}={}", line.field(n))).collect();
            vec![line.time.clone(), line.source.clone(), line.name.clone(), fields.join(" ")]
        })
        .collect();
    let last = own.last()?;
    let cause = cause(&lines, &own, last);
    Some(format!("{}cause: {cause}\n", render_table(&["TIME", "VM", "EVENT", "FIELDS"], &rows)))
}

fn cause(lines: &[Line], own: &[&Line], last: &Line) -> String {
    let attempt = own.iter().rev().find(|line| line.name == "attempt-failed");
    match (last.name.as_str(), attempt) {
        ("request-refused", None) => format!(
            "refused by the gateway, {} ({}): {}",
            last.field("outcome"),
            last.field("kind"),
            last.field("cause")
        ),
        (_, Some(attempt)) => backend_cause(lines, attempt),
        ("request-served", None) => "none; it was served".to_owned(),
        _ => "not in these lines; its last line is above".to_owned(),
    }
}

fn backend_cause(lines: &[Line], attempt: &Line) -> String {
    let backend = attempt.field("backend");
    let others = lines.iter().filter(|line| {
        line.name == "attempt-failed"
            && line.field("backend") == backend
            && line.field("request") != attempt.field("request")
            && line.is_near(attempt)
    });
    let count = others.count();
    let kind = match count >= SPELL_FAILURES {
        true => "it was gray",
        false => "an ordinary error",
    };
    format!(
        "backend server {backend} of {} gave {}; {count} other requests failed there within {} s: \
         {kind}",
        attempt.field("service"),
        attempt.field("cause"),
        SPELL.as_secs()
    )
}
