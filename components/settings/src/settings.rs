use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use kernel::{Place, VmId};

use crate::raw::RawSettings;
use crate::{Problem, Secret, SettingsError, duplicates};

/// The checked settings of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Region and failure domain of this VM.
    pub place: Place,
    /// Addresses that this VM listens on; no two are equal, unless their port is 0.
    pub listen: Listen,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Secrets; `Debug` does not print them.
    pub secrets: Secrets,
    /// Names of the plug-ins.
    pub plugins: Plugins,
    /// Number of worker threads, at least 1.
    pub worker_threads: usize,
    /// Seed of the random number generator; `None` means a random seed.
    pub seed: Option<u64>,
    /// Logs.
    pub log: Log,
    /// Traces.
    pub traces: Traces,
    /// Limits on callers.
    pub limits: Limits,
    /// Address resolution for callers.
    pub resolve: Resolve,
    /// Lease of this process in the platform's table.
    pub session: Session,
    /// Limits on the age of the configuration.
    pub freshness: Freshness,
    /// How long a stopping VM still accepts new requests, at least `resolve.ttl`.
    pub drain_period: Duration,
    /// How long a stopping VM then waits for the responses to requests in progress.
    pub finish_period: Duration,
}

/// Addresses that the VM listens on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For metrics and health.
    pub admin: SocketAddr,
}

/// Connection to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Name of the platform plug-in.
    pub adapter: Box<str>,
    /// Address of the platform.
    pub address: SocketAddr,
    /// Response timeout.
    pub timeout: Duration,
}

/// Secrets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Secrets {
    /// Secret that all VMs share.
    pub fleet: Secret,
    /// Tokens of operators, each non-empty.
    pub operator_tokens: Vec<Secret>,
}

/// Names of the plug-ins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plugins {
    /// Balancer.
    pub balancer: Box<str>,
    /// Detector.
    pub detector: Box<str>,
    /// Limiter.
    pub limiter: Box<str>,
    /// Queue.
    pub queue: Box<str>,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    Text,
}

/// Logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest severity that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Box<str>,
    /// Log file; `None` means standard error.
    pub file: Option<PathBuf>,
}

/// Traces.
#[derive(Clone, Debug, PartialEq)]
pub struct Traces {
    /// Address of an OTLP collector over HTTP; `None` disables traces.
    pub endpoint: Option<SocketAddr>,
    /// Fraction of new traces that are recorded, in [0, 1].
    pub sample_ratio: f64,
}

/// Limits on callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
}

/// Address resolution for callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolve {
    /// How long callers may cache the addresses.
    pub ttl: Duration,
    /// Maximum number of addresses in a response, at least 1.
    pub max_addresses: usize,
}

/// Lease of this process in the platform's table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Session {
    /// Duration of the lease of this process.
    pub lease: Duration,
    /// Interval between lease renewals, at most a third of the lease.
    pub renew_interval: Duration,
}

/// Limits on the age of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Freshness {
    /// How long a confirmed configuration counts as the newest.
    pub fresh_period: Duration,
    /// How long requests are served with a configuration that cannot be confirmed.
    pub max_stale: Duration,
}

impl Settings {
    /// Reads and checks a settings file. The error names every problem at once.
    pub fn load(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.display().to_string().into(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Checks the text of a settings file. The error names every problem at once.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let (value, duplicate_paths) =
            duplicates::parse_with_duplicates(text).map_err(SettingsError::Syntax)?;
        let mut problems: Vec<Problem> = Vec::new();
        for path in duplicate_paths {
            problems.push(Problem {
                path: path.into(),
                found: "a field that is given more than once".into(),
                remedy: "keep one of them".into(),
            });
        }
        if !value.is_object() {
            problems.push(Problem {
                path: "(root)".into(),
                found: "something other than a JSON object".into(),
                remedy: "put the settings into one JSON object".into(),
            });
            return Err(SettingsError::Invalid(problems));
        }
        let raw: RawSettings = serde_json::from_value(value).map_err(SettingsError::Syntax)?;
        match Settings::try_from(raw) {
            Ok(settings) if problems.is_empty() => Ok(settings),
            Err(SettingsError::Invalid(more)) => {
                problems.extend(more);
                Err(SettingsError::Invalid(problems))
            }
            Err(error) => Err(error),
            Ok(_) => Err(SettingsError::Invalid(problems)),
        }
    }
}
