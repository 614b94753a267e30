//! Runs one stand-in until it is stopped or its time limit is reached.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match standins::command::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error:#}");
            ExitCode::FAILURE
        }
    }
}
