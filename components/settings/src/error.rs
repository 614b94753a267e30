use std::fmt;

use thiserror::Error;

/// One invalid setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Path in the file, such as `listen.callers`.
    pub path: Box<str>,
    /// What was found there; never the text of a secret.
    pub found: Box<str>,
    /// How to correct it.
    pub remedy: Box<str>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}; {}", self.path, self.found, self.remedy)
    }
}

/// Why the settings could not be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path} ({source}); name a settings file that this user may read")]
    Read {
        /// Path of the file.
        path: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("the settings are not valid JSON ({0}); correct the syntax at that position")]
    Syntax(serde_json::Error),
    /// The file is JSON and has at least one problem.
    #[error("the settings have {} problem(s):{}", .0.len(), lines(.0))]
    Invalid(Vec<Problem>),
}

impl SettingsError {
    /// Every problem found; empty if the file could not be read or parsed.
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
