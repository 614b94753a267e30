//! Drivers of the third review's scripts: `stand-3 CASE FOLDER`. The exit status is 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod client;
mod crashes;
mod entries;
mod gateway;
mod http;
mod json;
mod limits;
mod quota;
mod record;
mod store;
mod target;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use entries::Writing;
use record::Record;

/// How a script ended.
pub enum Outcome {
    Broken,
    Held,
    NotRun(String),
}

/// What all cases need.
pub struct Stage {
    pub record: Arc<Record>,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stand-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::new(&PathBuf::from(folder).join("record.txt")));
    let temporary = std::env::temp_dir().join(format!("stand-3-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let stage = Stage { record: Arc::clone(&record), folder: temporary.clone(), trouble };
    let outcome = match case.as_str() {
        "quota" => quota::run(&stage),
        "crashes" => crashes::run(&stage),
        "limits" => limits::run(&stage),
        "entries" => entries::run(&stage, Writing::FieldsMissing),
        "parts" => entries::run(&stage, Writing::OtherPart),
        other => Outcome::NotRun(format!("no case {other}")),
    };
    let (text, status) = match outcome {
        Outcome::Broken => ("the rule was broken".to_string(), 1),
        Outcome::Held => ("the rule held".to_string(), 0),
        Outcome::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&format!("end {text}"));
    record.flush();
    println!("{text}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    ExitCode::from(status)
}
