//! Operators command line.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
