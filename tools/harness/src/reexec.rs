use std::ffi::OsString;

use anyhow::Context;
use settings::Settings;

use crate::programs::Programs;

/// First argument of a process that is one part of a fleet.
const DAEMON: &str = "part-daemon";
const STANDINS: &str = "part-standins";

/// How a program that calls [`run_subprocess`] first in `main` starts its own parts.
pub fn programs() -> anyhow::Result<Programs> {
    let me = std::env::current_exe().context("the path of this program is not known")?;
    let part = |name: &str| vec![me.clone().into_os_string(), OsString::from(name)];
    Ok(Programs { daemon: part(DAEMON), standins: part(STANDINS) })
}

/// Runs a part if this process was started as one.
pub fn run_subprocess() -> Option<anyhow::Result<()>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str)? {
        DAEMON => Some(run_daemon(&args[1..])),
        STANDINS => Some(standins::command::run(&args[1..])),
        _ => None,
    }
}

fn run_daemon(args: &[String]) -> anyhow::Result<()> {
    let file = args.first().context("the settings file is missing")?;
    daemon::start(Settings::load(file)?)
}
