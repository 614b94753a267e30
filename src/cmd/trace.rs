use std::io::Read;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use argh::FromArgs;
use serde::Deserialize;
use serde_json::{Map, Value};

use super::table::render_table;

/// Time before and after a failed attempt in which other failures of the same backend server count
/// as part of the same gray period: the usual duration of a gray period.
const GRAY_PERIOD: Duration = Duration::from_secs(8);
/// Failures of other requests within that time that distinguish a gray period from an ordinary
/// error.
const MIN_GRAY_FAILURES: usize = 2;

/// Finds a request in gateway log lines read from standard input, and names the cause of its
/// outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Args {
    /// request id
    #[argh(positional)]
    request: String,
}

/// One log line of a gateway.
#[derive(Deserialize)]
struct LogLine {
    name: String,
    #[serde(default)]
    fields: Map<String, Value>,
    #[serde(default)]
    time: String,
    /// Text before the JSON object, such as the file name that `grep -H` prints.
    #[serde(skip)]
    source: String,
}

impl LogLine {
    fn parse(text: &str) -> Option<LogLine> {
        let start = text.find('{')?;
        let mut line: LogLine = serde_json::from_str(text.get(start..)?).ok()?;
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

    fn timestamp(&self) -> Option<SystemTime> {
        humantime::parse_rfc3339(&self.time).ok()
    }

    fn is_within_gray_period(&self, other: &LogLine) -> bool {
        let (Some(a), Some(b)) = (self.timestamp(), other.timestamp()) else { return false };
        let distance = a.duration_since(b).or_else(|_| b.duration_since(a));
        distance.is_ok_and(|distance| distance <= GRAY_PERIOD)
    }
}

/// Runs the subcommand.
pub fn run(args: Args) -> Result<ExitCode> {
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).context("cannot read standard input")?;
    match trace(&text, &args.request) {
        Some(report) => {
            print!("{report}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            eprintln!(
                "papayareel: no line names request {}; either its VM was killed, or it was served \
                 and not sampled: look for events 101, 102 and 921 at that time",
                args.request
            );
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Renders the lines of a request and the cause of its outcome; `None` if no line has its id.
fn trace(text: &str, request: &str) -> Option<String> {
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let mut request_lines: Vec<&LogLine> =
        lines.iter().filter(|l| l.field("request") == request).collect();
    request_lines.sort_by(|a, b| a.time.cmp(&b.time));
    let rows: Vec<Vec<String>> = request_lines
        .iter()
        .map(|line| {
            let fields = line.fields.iter().filter(|(name, _)| *name != "request");
            let fields: Vec<String> =
                fields.map(|(n, _)| format!("{n}={}", line.field(n))).collect();
            vec![line.time.clone(), line.source.clone(), line.name.clone(), fields.join(" ")]
        })
        .collect();
    let last = request_lines.last()?;
    let cause = describe_cause(&lines, &request_lines, last);
    Some(format!("{}cause: {cause}\n", render_table(&["TIME", "VM", "EVENT", "FIELDS"], &rows)))
}

fn describe_cause(lines: &[LogLine], request_lines: &[&LogLine], last: &LogLine) -> String {
    let attempt = request_lines.iter().rev().find(|line| line.name == "attempt-failed");
    match (last.name.as_str(), attempt) {
        ("request-refused", None) => format!(
            "refused by the gateway, {} ({}): {}",
            last.field("outcome"),
            last.field("kind"),
            last.field("cause")
        ),
        (_, Some(attempt)) => describe_attempt_failure(lines, attempt),
        ("request-served", None) => "none; the request was served".to_owned(),
        _ => "not found in these lines; the last line of the request is above".to_owned(),
    }
}

fn describe_attempt_failure(lines: &[LogLine], attempt: &LogLine) -> String {
    let backend = attempt.field("backend");
    let others = lines.iter().filter(|line| {
        line.name == "attempt-failed"
            && line.field("backend") == backend
            && line.field("request") != attempt.field("request")
            && line.is_within_gray_period(attempt)
    });
    let count = others.count();
    let kind = match count >= MIN_GRAY_FAILURES {
        true => "it was gray",
        false => "an ordinary error",
    };
    format!(
        "backend server {backend} of {} failed with {}; {count} other requests failed there within \
         {} s: {kind}",
        attempt.field("service"),
        attempt.field("cause"),
        GRAY_PERIOD.as_secs()
    )
}
