use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kernel::Place;
use serde_json::{Map, Value};

use crate::field::Field;
use crate::raw::RawSettings;
use crate::{
    Constraint, DefaultValue, Freshness, Limits, Listen, Log, LogFormat, PlatformSettings, Plugins,
    Problem, Resolve, SETTINGS, Secret, Secrets, Session, Settings, SettingsError, Traces,
};

/// Collects problems. After a problem its methods return a placeholder value, so that the check
/// continues; placeholders are never used, because the check fails if there is any problem.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn report(&mut self, path: &str, found: impl Into<Box<str>>, remedy: impl Into<Box<str>>) {
        self.problems.push(Problem {
            path: path.into(),
            found: found.into(),
            remedy: remedy.into(),
        });
    }

    fn report_unknown(&mut self, section: &str, fields: &Map<String, Value>) {
        for name in fields.keys() {
            let path = if section.is_empty() { name.clone() } else { format!("{section}.{name}") };
            let similar = SETTINGS.iter().find(|info| info.path.rsplit('.').next() == Some(name));
            let remedy = match similar {
                Some(info) => format!("remove it or move it to {}", info.path),
                None => "remove it or correct its name".to_owned(),
            };
            self.report(&path, "an unknown field", remedy);
        }
    }

    fn read_section<T: Default>(&mut self, path: &str, field: Field<T>) -> T {
        match field {
            Field::Valid(section) => section,
            Field::Missing => T::default(),
            Field::WrongType(value) => {
                self.report(path, describe(path, &value), "make it a JSON object");
                T::default()
            }
        }
    }

    /// The value in the file; `None` if it is absent or has the wrong type.
    fn read<T>(&mut self, path: &str, field: Field<T>) -> Option<T> {
        let (default, constraint) = lookup_rules(path);
        match field {
            Field::Valid(value) => Some(value),
            Field::Missing => {
                if default == DefaultValue::Required {
                    self.report(path, "nothing", format!("set it to {constraint}"));
                }
                None
            }
            Field::WrongType(value) => {
                self.report(path, describe(path, &value), format!("set it to {constraint}"));
                None
            }
        }
    }

    fn read_optional_text(&mut self, path: &str, field: Field<String>) -> Option<Box<str>> {
        let constraint = lookup_rules(path).1;
        let text = self.read(path, field)?;
        let valid = match constraint {
            Constraint::Name => {
                (1..=64).contains(&text.len())
                    && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
            }
            Constraint::OneOf(words) => words.contains(&text.as_str()),
            _ => !text.is_empty(),
        };
        if !valid {
            let found = describe(path, &Value::String(text.clone()));
            self.report(path, found, format!("set it to {constraint}"));
        }
        Some(text.into())
    }

    fn read_text(&mut self, path: &str, field: Field<String>) -> Box<str> {
        let default = match lookup_rules(path).0 {
            DefaultValue::Text(text) => text,
            _ => "",
        };
        self.read_optional_text(path, field).unwrap_or_else(|| default.into())
    }

    fn read_optional_address(&mut self, path: &str, field: Field<String>) -> Option<SocketAddr> {
        let constraint = lookup_rules(path).1;
        let text = self.read(path, field)?;
        let address = text.parse();
        if address.is_err() {
            self.report(path, format!("{text:?}"), format!("set it to {constraint}"));
        }
        address.ok()
    }

    fn read_address(&mut self, path: &str, field: Field<String>) -> SocketAddr {
        self.read_optional_address(path, field)
            .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))
    }

    fn read_optional_integer(&mut self, path: &str, field: Field<u64>) -> Option<u64> {
        let constraint = lookup_rules(path).1;
        let number = self.read(path, field)?;
        if let Constraint::Integer(min, max) = constraint
            && !(min..=max).contains(&number)
        {
            self.report(path, number.to_string(), format!("set it to {constraint}"));
        }
        Some(number)
    }

    fn read_integer(&mut self, path: &str, field: Field<u64>) -> u64 {
        let default = match lookup_rules(path).0 {
            DefaultValue::Integer(number) => number,
            _ => 0,
        };
        self.read_optional_integer(path, field).unwrap_or(default)
    }

    fn read_count(&mut self, path: &str, field: Field<u64>) -> usize {
        usize::try_from(self.read_integer(path, field)).unwrap_or(usize::MAX)
    }

    fn read_millis(&mut self, path: &str, field: Field<u64>) -> Duration {
        Duration::from_millis(self.read_integer(path, field))
    }

    fn read_seconds(&mut self, path: &str, field: Field<u64>) -> Duration {
        Duration::from_secs(self.read_integer(path, field))
    }

    fn read_float(&mut self, path: &str, field: Field<f64>) -> f64 {
        let (default, constraint) = lookup_rules(path);
        let number = self.read(path, field);
        if let (Some(number), Constraint::Float(min, max)) = (number, constraint)
            && !(min..=max).contains(&number)
        {
            self.report(path, number.to_string(), format!("set it to {constraint}"));
        }
        match (number, default) {
            (Some(number), _) | (None, DefaultValue::Float(number)) => number,
            _ => 0.0,
        }
    }

    fn read_secrets(&mut self, path: &str, field: Field<Vec<Value>>) -> Vec<Secret> {
        let mut secrets = Vec::new();
        for (index, value) in self.read(path, field).unwrap_or_default().into_iter().enumerate() {
            let path = format!("{path}[{index}]");
            match value {
                Value::String(text) if !text.is_empty() => secrets.push(Secret::new(text)),
                value => {
                    self.report(&path, describe(&path, &value), "set it to a non-empty text");
                }
            }
        }
        secrets
    }

    /// Checks that no two listeners share an address; with port 0 the system chooses a free port.
    fn check_listeners(&mut self, listen: &Listen) {
        let all = [
            ("listen.callers", listen.callers),
            ("listen.peers", listen.peers),
            ("listen.operators", listen.operators),
            ("listen.admin", listen.admin),
        ];
        for (index, (path, address)) in all.iter().enumerate() {
            let same = all[..index].iter().find(|(_, earlier)| earlier == address);
            if let (Some((earlier, _)), true) = (same, address.port() != 0) {
                let found = format!("{address}, the same as {earlier}");
                self.report(path, found, "choose another port");
            }
        }
    }
}

fn lookup_rules(path: &str) -> (DefaultValue, Constraint) {
    let info = SETTINGS.iter().find(|info| info.path == path);
    info.map_or((DefaultValue::Absent, Constraint::Text), |info| (info.default, info.constraint))
}

/// Describes a value in a message: secrets by their type only, others shortened to 80 characters.
fn describe(path: &str, value: &Value) -> String {
    if path.starts_with("secrets") {
        return match value {
            Value::Null => "null",
            Value::Bool(_) => "a truth value",
            Value::Number(_) => "a number",
            Value::String(text) if text.is_empty() => "an empty text",
            Value::String(_) => "a text",
            Value::Array(_) => "a list",
            Value::Object(_) => "an object",
        }
        .to_owned();
    }
    let text = value.to_string();
    match text.char_indices().nth(80) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Settings, SettingsError> {
        let mut check = Checker::default();
        check.report_unknown("", &raw.unknown);

        let place = check.read_section("place", raw.place);
        check.report_unknown("place", &place.unknown);
        let listen = check.read_section("listen", raw.listen);
        check.report_unknown("listen", &listen.unknown);
        let platform = check.read_section("platform", raw.platform);
        check.report_unknown("platform", &platform.unknown);
        let secrets = check.read_section("secrets", raw.secrets);
        check.report_unknown("secrets", &secrets.unknown);
        let plugins = check.read_section("plugins", raw.plugins);
        check.report_unknown("plugins", &plugins.unknown);
        let log = check.read_section("log", raw.log);
        check.report_unknown("log", &log.unknown);
        let traces = check.read_section("traces", raw.traces);
        check.report_unknown("traces", &traces.unknown);
        let limits = check.read_section("limits", raw.limits);
        check.report_unknown("limits", &limits.unknown);
        let entry = check.read_section("entry", raw.entry);
        check.report_unknown("entry", &entry.unknown);
        let session = check.read_section("session", raw.session);
        check.report_unknown("session", &session.unknown);
        let freshness = check.read_section("freshness", raw.freshness);
        check.report_unknown("freshness", &freshness.unknown);

        let resolve = Resolve {
            ttl: check.read_millis("entry.ttl_ms", entry.ttl_ms),
            max_addresses: check.read_count("entry.homes", entry.homes),
        };
        let drain_period = match check.read_optional_integer("drain_ms", raw.drain_ms) {
            Some(millis) => Duration::from_millis(millis),
            None => resolve.ttl + Duration::from_secs(1),
        };
        let settings = Settings {
            vm: check.read_text("vm", raw.vm),
            place: Place {
                region: check.read_text("place.region", place.region),
                domain: check.read_text("place.domain", place.domain),
            },
            listen: Listen {
                callers: check.read_address("listen.callers", listen.callers),
                peers: check.read_address("listen.peers", listen.peers),
                operators: check.read_address("listen.operators", listen.operators),
                admin: check.read_address("listen.admin", listen.admin),
            },
            platform: PlatformSettings {
                adapter: check.read_text("platform.adapter", platform.adapter),
                address: check.read_address("platform.address", platform.address),
                timeout: check.read_millis("platform.timeout_ms", platform.timeout_ms),
            },
            secrets: Secrets {
                fleet: Secret::new(check.read_text("secrets.fleet", secrets.fleet)),
                operator_tokens: check
                    .read_secrets("secrets.operator_tokens", secrets.operator_tokens),
            },
            plugins: Plugins {
                balancer: check.read_text("plugins.balancer", plugins.balancer),
                detector: check.read_text("plugins.detector", plugins.detector),
                limiter: check.read_text("plugins.limiter", plugins.limiter),
                queue: check.read_text("plugins.queue", plugins.queue),
            },
            worker_threads: check.read_count("threads", raw.threads),
            seed: check.read_optional_integer("seed", raw.seed),
            log: Log {
                format: match &*check.read_text("log.format", log.format) {
                    "text" => LogFormat::Text,
                    _ => LogFormat::Json,
                },
                level: check.read_text("log.level", log.level),
                file: check.read_optional_text("log.file", log.file).map(|file| (*file).into()),
            },
            traces: Traces {
                endpoint: check.read_optional_address("traces.endpoint", traces.endpoint),
                sample_ratio: check.read_float("traces.sample", traces.sample),
            },
            limits: Limits {
                max_head_bytes: check.read_count("limits.head_bytes", limits.head_bytes),
                max_body_bytes: check.read_count("limits.body_bytes", limits.body_bytes),
                head_timeout: check.read_millis("limits.head_timeout_ms", limits.head_timeout_ms),
                max_connections: check.read_count("limits.connections", limits.connections),
            },
            resolve,
            session: Session {
                lease: check.read_seconds("session.lease_s", session.lease_s),
                renew_interval: check.read_seconds("session.renew_s", session.renew_s),
            },
            freshness: Freshness {
                fresh_period: check.read_millis("freshness.fresh_ms", freshness.fresh_ms),
                max_stale: check.read_seconds("freshness.stale_s", freshness.stale_s),
            },
            drain_period,
            finish_period: check.read_millis("finish_ms", raw.finish_ms),
        };

        check.check_listeners(&settings.listen);
        if settings.drain_period < settings.resolve.ttl {
            let found = settings.drain_period.as_millis().to_string();
            check.report("drain_ms", found, "set it to at least entry.ttl_ms");
        }
        if settings.session.renew_interval * 3 > settings.session.lease {
            let found = settings.session.renew_interval.as_secs().to_string();
            check.report("session.renew_s", found, "set it to a third of session.lease_s or less");
        }
        if check.problems.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid(check.problems))
        }
    }
}
