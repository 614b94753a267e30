use serde::Deserialize;
use serde_json::{Map, Value};

use crate::field::Field;

/// Defines structs that mirror the sections of the file and collect unknown fields.
macro_rules! raw {
    ($($(#[$meta:meta])* $name:ident { $($field:ident: $type:ty,)* })*) => {$(
        $(#[$meta])*
        #[derive(Default, Deserialize)]
        #[serde(default)]
        pub(crate) struct $name {
            $(pub(crate) $field: Field<$type>,)*
            #[serde(flatten)]
            pub(crate) unknown: Map<String, Value>,
        }
    )*};
}

raw! {
    /// The whole file.
    RawSettings {
        vm: String,
        place: RawPlace,
        listen: RawListen,
        platform: RawPlatform,
        secrets: RawSecrets,
        plugins: RawPlugins,
        threads: u64,
        seed: u64,
        log: RawLog,
        traces: RawTraces,
        limits: RawLimits,
        entry: RawEntry,
        session: RawSession,
        freshness: RawFreshness,
        drain_ms: u64,
        finish_ms: u64,
    }
    RawPlace { region: String, domain: String, }
    RawListen { callers: String, peers: String, operators: String, admin: String, }
    RawPlatform { adapter: String, address: String, timeout_ms: u64, }
    RawSecrets { fleet: String, operator_tokens: Vec<Value>, }
    RawPlugins { balancer: String, detector: String, limiter: String, queue: String, }
    RawLog { format: String, level: String, file: String, }
    RawTraces { endpoint: String, sample: f64, }
    RawLimits { head_bytes: u64, body_bytes: u64, head_timeout_ms: u64, connections: u64, }
    RawEntry { ttl_ms: u64, homes: u64, }
    RawSession { lease_s: u64, renew_s: u64, }
    RawFreshness { fresh_ms: u64, stale_s: u64, }
}
