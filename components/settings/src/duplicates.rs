use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// Parses JSON and returns the paths of duplicate fields as well. The parser of `serde_json`
/// silently keeps the last of them.
pub(crate) fn parse_with_duplicates(text: &str) -> Result<(Value, Vec<String>), serde_json::Error> {
    let mut duplicates = Vec::new();
    let mut input = serde_json::Deserializer::from_str(text);
    let seed = ValueSeed { path: String::new(), duplicates: &mut duplicates };
    let value = seed.deserialize(&mut input)?;
    input.end()?;
    Ok((value, duplicates))
}

/// Parses the value at a path.
struct ValueSeed<'a> {
    path: String,
    duplicates: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<Value, D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
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
            match items.next_element_seed(ValueSeed { path, duplicates: &mut *self.duplicates })? {
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
            let seed = ValueSeed { path: path.clone(), duplicates: &mut *self.duplicates };
            let value = fields.next_value_seed(seed)?;
            if map.insert(name, value).is_some() {
                self.duplicates.push(path);
            }
        }
        Ok(Value::Object(map))
    }
}
