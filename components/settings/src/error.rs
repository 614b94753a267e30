use std::fmt;

use thiserror::Error;

/// One thing that is wrong with the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Path in the file, such as `listen.callers`.
    pub path: Box<str>,
    /// What was found there. Never the text of a secret.
    pub found: Box<str>,
    /// What to do about it.
    pub remedy: Box<str>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}; {}", self.path, self.found, self.remedy)
    }
}

/// Why there are no settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path} ({source}); name a settings file that this user may read")]
    Read {
        /// Path of the file.
        path: Box<str>,
        /// The system's error.
        source: std::io::Error,
    },
    /// The text is not JSON.
    #[error("the settings are not JSON ({0}); correct the syntax there")]
    Syntax(serde_json::Error),
    /// The text is JSON and has at least one problem.
    #[error("the settings have {} problem(s):{}", .0.len(), lines(.0))]
    Invalid(Vec<Problem>),
}

impl SettingsError {
    /// Every problem that the check found; empty if the text could not be checked.
    pub fn problems(&self) -> &[Problem] {
        match self {
            SettingsError::Invalid(problems) => problems,
            _ => &[],
        }
    }
}

fn lines(problems: &[Problem]) -> String {
    problems.iter().map(|problem| format!("\n  {problem}")).collect()
}
