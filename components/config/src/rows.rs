use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Change;

/// Key of the row with the newest version.
pub(crate) const HEAD_KEY: &str = "config/head";
/// Key prefix of the delta rows.
pub(crate) const DELTA_PREFIX: &str = "config/delta/";
/// Name prefix of the snapshot objects.
pub(crate) const SNAPSHOT_PREFIX: &str = "config/snapshot-";

/// Row key of the delta of a version, zero-padded so that keys sort by version.
pub(crate) fn delta_key(version: ConfigVersion) -> Box<str> {
    format!("{DELTA_PREFIX}{version:012}").into()
}

/// Key of the row that records the result of a change set.
pub(crate) fn change_key(change_id: &str) -> Box<str> {
    format!("config/change/{change_id}").into()
}

/// Object name of the snapshot of a version, zero-padded so that names sort by version.
pub(crate) fn snapshot_name(version: ConfigVersion) -> Box<str> {
    format!("{SNAPSHOT_PREFIX}{version:012}").into()
}

/// Parses the version from the object name of a snapshot.
pub(crate) fn snapshot_version(name: &str) -> Option<ConfigVersion> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()
}

/// Value of the head row, which has the newest version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version; 0 before the first change.
    pub version: ConfigVersion,
    /// Version of the newest snapshot; 0 if there is none.
    pub snapshot: ConfigVersion,
}

/// Value of a change row.
#[derive(Serialize, Deserialize)]
pub(crate) struct ChangeRow {
    /// Version that the change set created.
    pub(crate) version: ConfigVersion,
    /// SHA-256 of the changes, to detect another change set with the same id.
    pub(crate) sha256: Box<str>,
}

/// Digests the changes of a set. The base version is left out, so that the same changes on a newer
/// base count as a repetition.
pub(crate) fn digest_changes(changes: &[Change]) -> Result<Box<str>, serde_json::Error> {
    let bytes = Sha256::digest(serde_json::to_vec(changes)?);
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into())
}
