//! Serde functions for a duration in whole milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, ser};

pub(crate) fn serialize<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    let millis = u64::try_from(time.as_millis()).map_err(ser::Error::custom)?;
    serializer.serialize_u64(millis)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
