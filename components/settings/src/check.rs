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

/// Collects problems. Its methods return a stand-in value after a problem, so that the check goes
/// on; such values never leave the check, because one problem makes it fail.
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

    fn unknown(&mut self, section: &str, fields: &Map<String, Value>) {
        for name in fields.keys() {
            let path = if section.is_empty() { name.clone() } else { format!("{section}.{name}") };
            let near = SETTINGS.iter().find(|info| info.path.rsplit('.').next() == Some(name));
            let remedy = match near {
                Some(info) => format!("remove it or move it to {}", info.path),
                None => "remove it or correct its name".to_owned(),
            };
            self.report(&path, "an unknown field", remedy);
        }
    }

    fn section<T: Default>(&mut self, path: &str, field: Field<T>) -> T {
        match field {
            Field::Read(section) => section,
            Field::Missing => T::default(),
            Field::Wrong(value) => {
                self.report(path, describe(path, &value), "make it a JSON object");
                T::default()
            }
        }
    }

    /// The value of the file, or none after a problem or if the file does not name the setting.
    fn read<T>(&mut self, path: &str, field: Field<T>) -> Option<T> {
        let (default, constraint) = info(path);
        match field {
            Field::Read(value) => Some(value),
            Field::Missing => {
                if default == DefaultValue::Required {
                    self.report(path, "nothing", format!("set it to {constraint}"));
                }
                None
            }
            Field::Wrong(value) => {
                self.report(path, describe(path, &value), format!("set it to {constraint}"));
                None
            }
        }
    }

    fn optional_text(&mut self, path: &str, field: Field<String>) -> Option<Box<str>> {
        let constraint = info(path).1;
        let text = self.read(path, field)?;
        let good = match constraint {
            Constraint::Name => {
                (1..=64).contains(&text.len())
                    && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
            }
            Constraint::OneOf(words) => words.contains(&text.as_str()),
            _ => !text.is_empty(),
        };
        if !good {
            let found = describe(path, &Value::String(text.clone()));
            self.report(path, found, format!("set it to {constraint}"));
        }
        Some(text.into())
    }

    fn text(&mut self, path: &str, field: Field<String>) -> Box<str> {
        let default = match info(path).0 {
            DefaultValue::Text(text) => text,
            _ => "",
        };
        self.optional_text(path, field).unwrap_or_else(|| default.into())
    }

    fn optional_address(&mut self, path: &str, field: Field<String>) -> Option<SocketAddr> {
        let constraint = info(path).1;
        let text = self.read(path, field)?;
        let address = text.parse();
        if address.is_err() {
            self.report(path, format!("{text:?}"), format!("set it to {constraint}"));
        }
        address.ok()
    }

    fn address(&mut self, path: &str, field: Field<String>) -> SocketAddr {
        self.optional_address(path, field)
            .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))
    }

    fn optional_whole(&mut self, path: &str, field: Field<u64>) -> Option<u64> {
        let constraint = info(path).1;
        let number = self.read(path, field)?;
        if let Constraint::Integer(low, high) = constraint
            && !(low..=high).contains(&number)
        {
            self.report(path, number.to_string(), format!("set it to {constraint}"));
        }
        Some(number)
    }

    fn whole(&mut self, path: &str, field: Field<u64>) -> u64 {
        let default = match info(path).0 {
            DefaultValue::Integer(number) => number,
            _ => 0,
        };
        self.optional_whole(path, field).unwrap_or(default)
    }

    fn count(&mut self, path: &str, field: Field<u64>) -> usize {
        usize::try_from(self.whole(path, field)).unwrap_or(usize::MAX)
    }

    fn millis(&mut self, path: &str, field: Field<u64>) -> Duration {
        Duration::from_millis(self.whole(path, field))
    }

    fn seconds(&mut self, path: &str, field: Field<u64>) -> Duration {
        Duration::from_secs(self.whole(path, field))
    }

    fn real(&mut self, path: &str, field: Field<f64>) -> f64 {
        let (default, constraint) = info(path);
        let number = self.read(path, field);
        if let (Some(number), Constraint::Float(low, high)) = (number, constraint)
            && !(low..=high).contains(&number)
        {
            self.report(path, number.to_string(), format!("set it to {constraint}"));
        }
        match (number, default) {
            (Some(number), _) | (None, DefaultValue::Float(number)) => number,
            _ => 0.0,
        }
    }

    fn secrets(&mut self, path: &str, field: Field<Vec<Value>>) -> Vec<Secret> {
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

    /// Two listeners cannot share an address; port 0 lets the system choose one.
    fn distinct(&mut self, listen: &Listen) {
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

fn info(path: &str) -> (DefaultValue, Constraint) {
    let info = SETTINGS.iter().find(|info| info.path == path);
    info.map_or((DefaultValue::Absent, Constraint::Text), |info| (info.default, info.constraint))
}

/// What to print of a value: its kind for secrets, else a short form of itself.
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
        check.unknown("", &raw.unknown);

        let place = check.section("place", raw.place);
        check.unknown("place", &place.unknown);
        let listen = check.section("listen", raw.listen);
        check.unknown("listen", &listen.unknown);
        let platform = check.section("platform", raw.platform);
        check.unknown("platform", &platform.unknown);
        let secrets = check.section("secrets", raw.secrets);
        check.unknown("secrets", &secrets.unknown);
        let plugins = check.section("plugins", raw.plugins);
        check.unknown("plugins", &plugins.unknown);
        let log = check.section("log", raw.log);
        check.unknown("log", &log.unknown);
        let traces = check.section("traces", raw.traces);
        check.unknown("traces", &traces.unknown);
        let limits = check.section("limits", raw.limits);
        check.unknown("limits", &limits.unknown);
        let entry = check.section("entry", raw.entry);
        check.unknown("entry", &entry.unknown);
        let session = check.section("session", raw.session);
        check.unknown("session", &session.unknown);
        let freshness = check.section("freshness", raw.freshness);
        check.unknown("freshness", &freshness.unknown);

        let resolve = Resolve {
            ttl: check.millis("entry.ttl_ms", entry.ttl_ms),
            max_addresses: check.count("entry.homes", entry.homes),
        };
        let drain_period = match check.optional_whole("drain_ms", raw.drain_ms) {
            Some(millis) => Duration::from_millis(millis),
            None => resolve.ttl + Duration::from_secs(1),
        };
        let settings = Settings {
            vm: check.text("vm", raw.vm),
            place: Place {
                region: check.text("place.region", place.region),
                domain: check.text("place.domain", place.domain),
            },
            listen: Listen {
                callers: check.address("listen.callers", listen.callers),
                peers: check.address("listen.peers", listen.peers),
                operators: check.address("listen.operators", listen.operators),
                admin: check.address("listen.admin", listen.admin),
            },
            platform: PlatformSettings {
                adapter: check.text("platform.adapter", platform.adapter),
                address: check.address("platform.address", platform.address),
                timeout: check.millis("platform.timeout_ms", platform.timeout_ms),
            },
            secrets: Secrets {
                fleet: Secret::new(check.text("secrets.fleet", secrets.fleet)),
                operator_tokens: check.secrets("secrets.operator_tokens", secrets.operator_tokens),
            },
            plugins: Plugins {
                balancer: check.text("plugins.balancer", plugins.balancer),
                detector: check.text("plugins.detector", plugins.detector),
                limiter: check.text("plugins.limiter", plugins.limiter),
                queue: check.text("plugins.queue", plugins.queue),
            },
            worker_threads: check.count("threads", raw.threads),
            seed: check.optional_whole("seed", raw.seed),
            log: Log {
                format: match &*check.text("log.format", log.format) {
                    "text" => LogFormat::Text,
                    _ => LogFormat::Json,
                },
                level: check.text("log.level", log.level),
                file: check.optional_text("log.file", log.file).map(|file| (*file).into()),
            },
            traces: Traces {
                endpoint: check.optional_address("traces.endpoint", traces.endpoint),
                sample_ratio: check.real("traces.sample", traces.sample),
            },
            limits: Limits {
                max_head_bytes: check.count("limits.head_bytes", limits.head_bytes),
                max_body_bytes: check.count("limits.body_bytes", limits.body_bytes),
                head_timeout: check.millis("limits.head_timeout_ms", limits.head_timeout_ms),
                max_connections: check.count("limits.connections", limits.connections),
            },
            resolve,
            session: Session {
                lease: check.seconds("session.lease_s", session.lease_s),
                renew_interval: check.seconds("session.renew_s", session.renew_s),
            },
            freshness: Freshness {
                fresh_period: check.millis("freshness.fresh_ms", freshness.fresh_ms),
                max_stale: check.seconds("freshness.stale_s", freshness.stale_s),
            },
            drain_period,
        };

        check.distinct(&settings.listen);
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
