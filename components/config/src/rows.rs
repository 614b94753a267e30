use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Change;

/// Key of the row that names the newest version.
pub(crate) const HEAD: &str = "config/head";
/// Prefix of the rows that hold the deltas.
pub(crate) const DELTAS: &str = "config/delta/";
/// Prefix of the objects that hold the snapshots.
pub(crate) const SNAPSHOTS: &str = "config/snapshot-";

/// Key of the delta that leads to a version; zero padded, so that keys sort by version.
pub(crate) fn delta_key(version: ConfigVersion) -> Box<str> {
    format!("{DELTAS}{version:012}").into()
}

/// Key of the row that tells what became of a change set.
pub(crate) fn change_key(change_id: &str) -> Box<str> {
    format!("config/change/{change_id}").into()
}

/// Name of the snapshot of a version; zero padded, so that names sort by version.
pub(crate) fn snapshot_name(version: ConfigVersion) -> Box<str> {
    format!("{SNAPSHOTS}{version:012}").into()
}

/// Version that a snapshot's name tells.
pub(crate) fn snapshot_version(name: &str) -> Option<ConfigVersion> {
    name.strip_prefix(SNAPSHOTS)?.parse().ok()
}

/// Value of the head row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version; 0 if no change was ever accepted.
    pub version: ConfigVersion,
    /// Version of the newest snapshot; 0 if there is none.
    pub snapshot: ConfigVersion,
}

/// Value of a change row.
#[derive(Serialize, Deserialize)]
pub(crate) struct ChangeRow {
    /// Version that the change set led to.
    pub(crate) version: ConfigVersion,
    /// SHA-256 of the changes, to tell a repeated set from another one with the same id.
    pub(crate) sha256: Box<str>,
}

/// Digest of the changes of a set. The base is left out: asking again on a newer base is a repeat.
pub(crate) fn digest_changes(changes: &[Change]) -> Result<Box<str>, serde_json::Error> {
    let bytes = Sha256::digest(serde_json::to_vec(changes)?);
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into())
}
