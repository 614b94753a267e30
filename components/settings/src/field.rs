use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// A field as the file has it. A wrong type is kept instead of ending the parse, so that every
/// error of a file can be reported at once.
#[derive(Default)]
pub(crate) enum Field<T> {
    /// The field is absent or null.
    #[default]
    Missing,
    /// The field has the expected type.
    Read(T),
    /// The field has another type.
    Wrong(Value),
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if value.is_null() {
            return Ok(Field::Missing);
        }
        Ok(match T::deserialize(&value) {
            Ok(read) => Field::Read(read),
            Err(_) => Field::Wrong(value),
        })
    }
}
