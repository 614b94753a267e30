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
    /// Addresses that this VM listens on. No two are equal, unless their port is 0.
    pub listen: Listen,
    /// How the platform is reached.
    pub platform: PlatformSettings,
    /// Secrets; `Debug` does not print them.
    pub secrets: Secrets,
    /// Names of the plug-ins.
    pub plugins: Plugins,
    /// Worker threads. At least 1.
    pub worker_threads: usize,
    /// Seed of the random generator.
    pub seed: Option<u64>,
    /// Logs.
    pub log: Log,
    /// Traces.
    pub traces: Traces,
    /// Constraint on what callers send.
    pub limits: Limits,
    /// Entry responses.
    pub resolve: Resolve,
    /// Session in the share ledger.
    pub session: Session,
    /// Age of the configuration.
    pub freshness: Freshness,
    /// Time that a stopping VM still takes new requests. At least `entry.ttl`.
    pub drain_period: Duration,
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

/// How the platform is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Name of the platform plug-in.
    pub adapter: Box<str>,
    /// Address of the platform.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

/// Secrets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Secrets {
    /// Secret that all VMs share.
    pub fleet: Secret,
    /// Tokens of operators. None is empty.
    pub operator_tokens: Vec<Secret>,
}

/// Names of the plug-ins that decide.
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

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Plain text.
    Text,
}

/// Logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severe level logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Box<str>,
    /// Log file; none means standard error.
    pub file: Option<PathBuf>,
}

/// Traces.
#[derive(Clone, Debug, PartialEq)]
pub struct Traces {
    /// OTLP collector over HTTP; none means no traces.
    pub endpoint: Option<SocketAddr>,
    /// Part of the new traces that is recorded, in [0, 1].
    pub sample_ratio: f64,
}

/// Constraint on what callers send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest wait for the head of a request.
    pub head_timeout: Duration,
    /// Most connections at once.
    pub max_connections: usize,
}

/// Entry responses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolve {
    /// Time that a caller may keep an entry response.
    pub ttl: Duration,
    /// Number of addresses. At least 1.
    pub max_addresses: usize,
}

/// Session in the share ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Session {
    /// Lease of this process start.
    pub lease: Duration,
    /// Interval of renewals. At most a third of the lease.
    pub renew_interval: Duration,
}

/// Age of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Freshness {
    /// Time that a confirmed configuration counts as the newest.
    pub fresh_period: Duration,
    /// Longest service with a configuration that nobody can confirm.
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
        let (value, repeated) = duplicates::parse(text).map_err(SettingsError::Syntax)?;
        let mut problems: Vec<Problem> = Vec::new();
        for path in repeated {
            problems.push(Problem {
                path: path.into(),
                found: "a field that is given more than once".into(),
                remedy: "keep one of them".into(),
            });
        }
        if !value.is_object() {
            problems.push(Problem {
                path: "(root)".into(),
                found: "no JSON object".into(),
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
