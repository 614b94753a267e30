use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// A field of the file. A value of the wrong type is kept instead of ending the parse, so that all
/// problems of a file are reported at once.
#[derive(Default)]
pub(crate) enum Field<T> {
    /// The field is absent or null.
    #[default]
    Missing,
    /// The field has the expected type.
    Valid(T),
    /// The field has another type.
    WrongType(Value),
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if value.is_null() {
            return Ok(Field::Missing);
        }
        Ok(match T::deserialize(&value) {
            Ok(read) => Field::Valid(read),
            Err(_) => Field::WrongType(value),
        })
    }
}
