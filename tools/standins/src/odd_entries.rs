use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::wire;

fn good_entry(address: SocketAddr) -> Value {
    wire::backend_entry("scripts", address, "a1", "ready", 1)
}

/// A good entry with one field replaced.
fn with(name: &str, value: Value) -> Vec<u8> {
    let mut entry = good_entry(([127, 0, 0, 1], 9).into());
    entry[name] = value;
    entry.to_string().into_bytes()
}

/// Values that name no backend server, or one that no request reaches: deep nesting, numbers and
/// ports out of range, addresses of another kind, wrong types, bytes that are no text.
pub fn odd_backend_entries() -> Vec<Vec<u8>> {
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let text = good_entry(([127, 0, 0, 1], 9).into()).to_string();
    vec![
        nested(30_000).into_bytes(),
        "[".repeat(65_536).into_bytes(),
        text.replace(r#""v1""#, &nested(2000)).into_bytes(),
        text.replace(r#""scripts""#, &nested(2000)).into_bytes(),
        text.replace(r#""slots":4"#, r#""slots":1e999"#).into_bytes(),
        text.replace(r#""sequence":1"#, r#""sequence":123456789012345678901234"#).into_bytes(),
        text.replace(r#""slots":4"#, r#""slots":4,"slots":4"#).into_bytes(),
        with("slots", json!(u32::MAX)),
        with("slots", json!(-4)),
        with("slots", json!("4")),
        with("cold_remaining_ms", json!(u64::MAX)),
        with("born", json!(u64::MAX)),
        with("born", json!(-1)),
        with("address", json!("127.0.0.1:65536")),
        with("address", json!("127.0.0.1:0")),
        with("address", json!("[::1]:9")),
        with("address", json!("0.0.0.0:9")),
        with("address", json!("host.example:9")),
        with("state", json!("resting")),
        with("service", json!("s".repeat(60_000))),
        with("extra", json!("x".repeat(60_000))),
        with("zone", Value::Null),
        b"\xff\xfe\x00\x01".to_vec(),
        b"null".to_vec(),
        Vec::new(),
    ]
}

/// An entry that is valid but for its size.
pub fn large_backend_entry(bytes: usize) -> Vec<u8> {
    with("extra", json!("x".repeat(bytes.saturating_sub(300))))
}
