//! Command line for the operators of a fleet.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
