use std::ffi::OsString;

use anyhow::Context;
use settings::Settings;

use crate::programs::Programs;

/// First argument of a process that runs as the daemon of a fleet.
const DAEMON_ROLE: &str = "part-daemon";
/// First argument of a process that runs as a stand-in.
const STANDINS_ROLE: &str = "part-standins";

/// Returns the commands that start this program as a daemon or a stand-in. The program must call
/// [`run_subprocess`] first in `main`.
pub fn programs() -> anyhow::Result<Programs> {
    let program = std::env::current_exe().context("cannot determine the path of this program")?;
    let command = |name: &str| vec![program.clone().into_os_string(), OsString::from(name)];
    Ok(Programs { daemon: command(DAEMON_ROLE), standins: command(STANDINS_ROLE) })
}

/// Runs the daemon or a stand-in if this process was started as one; returns `None` otherwise.
pub fn run_subprocess() -> Option<anyhow::Result<()>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str)? {
        DAEMON_ROLE => Some(run_daemon(&args[1..])),
        STANDINS_ROLE => Some(standins::command::run(&args[1..])),
        _ => None,
    }
}

fn run_daemon(args: &[String]) -> anyhow::Result<()> {
    let file = args.first().context("the argument with the settings file is missing")?;
    daemon::start(Settings::load(file)?)
}
