use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use tokio::sync::watch;

/// Sets the fields of `switches` that `patch` names; returns their former values.
fn apply<T: Serialize + DeserializeOwned>(
    switches: &mut T,
    patch: Map<String, Value>,
) -> Result<Map<String, Value>, String> {
    let text = |error: serde_json::Error| error.to_string();
    let mut fields = match serde_json::to_value(&*switches).map_err(text)? {
        Value::Object(fields) => fields,
        _ => return Err("the fault switches are not a JSON object".to_owned()),
    };
    let mut former = Map::new();
    for (name, value) in patch {
        let Some(field) = fields.get_mut(&name) else {
            let known: Vec<&str> = fields.keys().map(String::as_str).collect();
            return Err(format!(
                "unknown fault switch {name:?}; known switches: {}",
                known.join(", ")
            ));
        };
        former.insert(name, std::mem::replace(field, value));
    }
    *switches = serde_json::from_value(Value::Object(fields)).map_err(text)?;
    Ok(former)
}

/// Removes and decodes a field of a patch that is an action, not a lasting switch.
pub(crate) fn take<T: DeserializeOwned>(
    patch: &mut Map<String, Value>,
    name: &str,
) -> Result<Option<T>, String> {
    let value = patch.remove(name).map(serde_json::from_value).transpose();
    value.map_err(|error| format!("{name}: {error}"))
}

/// Applies a patch atomically and notifies the watchers; returns the former values and the new
/// switches. An invalid patch changes nothing.
pub(crate) fn apply_watched<T: Clone + Serialize + DeserializeOwned>(
    switches: &watch::Sender<T>,
    patch: Map<String, Value>,
) -> Result<(Map<String, Value>, T), String> {
    let mut result = Err(String::new());
    switches.send_if_modified(|switches| {
        result = apply(switches, patch).map(|former| (former, switches.clone()));
        result.is_ok()
    });
    result
}
