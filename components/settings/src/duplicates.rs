use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// Parses JSON and reports the paths of fields that are given more than once. A plain parse takes
/// the last of them silently.
pub(crate) fn parse(text: &str) -> Result<(Value, Vec<String>), serde_json::Error> {
    let mut repeated = Vec::new();
    let mut input = serde_json::Deserializer::from_str(text);
    let walk = Walk { path: String::new(), repeated: &mut repeated };
    let value = walk.deserialize(&mut input)?;
    input.end()?;
    Ok((value, repeated))
}

/// Reads the value at a path.
struct Walk<'a> {
    path: String,
    repeated: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for Walk<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<Value, D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Walk<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, truth: bool) -> Result<Value, E> {
        Ok(Value::Bool(truth))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Value, E> {
        Ok(number.into())
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Value, E> {
        Ok(number.into())
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Value, E> {
        Ok(Number::from_f64(number).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Value, E> {
        Ok(text.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, list.len());
            match items.next_element_seed(Walk { path, repeated: &mut *self.repeated })? {
                Some(value) => list.push(value),
                None => return Ok(Value::Array(list)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            let path =
                if self.path.is_empty() { name.clone() } else { format!("{}.{name}", self.path) };
            let walk = Walk { path: path.clone(), repeated: &mut *self.repeated };
            let value = fields.next_value_seed(walk)?;
            if map.insert(name, value).is_some() {
                self.repeated.push(path);
            }
        }
        Ok(Value::Object(map))
    }
}
