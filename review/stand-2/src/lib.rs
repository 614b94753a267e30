//! What the scripts of the second review share: gateway processes started with the command of the
//! deploy file, a record of what was sent, answered and run, a link that can be cut, and a backend
//! server that can be crashed.

mod deployment;
mod http;
mod link;
mod record;
mod store;
mod target;

pub use deployment::{Deployment, Fleet, Route, post};
pub use link::Link;
pub use record::Record;
pub use target::{POISON_MARK, Run, Target};

/// Exit status of a script whose rule was broken.
pub const BROKEN: u8 = 1;
/// Exit status of a script that could not run.
pub const NOT_RUN: u8 = 2;

/// Result of what may fail for a reason that only a reader of the record needs.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Whether the script shall cause the disruption: unless `TROUBLE` is `0`.
pub fn is_disrupted() -> bool {
    std::env::var_os("TROUBLE").is_none_or(|value| value != "0")
}

/// Turns the result of a script into an exit status: `true` says that the rule was broken.
pub fn finish(result: Result<bool>) -> std::process::ExitCode {
    match result {
        Ok(false) => std::process::ExitCode::SUCCESS,
        Ok(true) => std::process::ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::ExitCode::from(NOT_RUN)
        }
    }
}
