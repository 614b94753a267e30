use std::fmt::Write;
use std::io::{self, BufReader, BufWriter};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::FleetConfig;

/// Format that this release writes.
const FORMAT: u32 = 1;

/// Bytes between the JSON code and the compression, which are slow for single bytes.
const BUFFER: usize = 64 * 1024;

/// First line of a snapshot; the configuration in compressed JSON follows.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    format: u32,
    version: ConfigVersion,
    length: usize,
    sha256: Box<str>,
}

/// Why a snapshot cannot be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SnapshotError {
    /// The end is missing.
    #[error("the snapshot ends after {found} of {expected} bytes; use an older one")]
    Truncated {
        /// Bytes that the snapshot has.
        found: usize,
        /// Bytes that it should have; 0 if not even the header is whole.
        expected: usize,
    },
    /// The configuration is not what was written.
    #[error("the snapshot does not match its checksum; use an older one")]
    Checksum,
    /// The header or the configuration cannot be read.
    #[error("the snapshot is damaged ({0}); use an older one")]
    Damaged(Box<str>),
    /// The snapshot was written by another release.
    #[error("the snapshot has format {0} and this release reads {FORMAT}; update this VM")]
    Format(u32),
    /// The configuration cannot be written.
    #[error("the configuration cannot be written ({0}); report this with the last change")]
    Unwritable(Box<str>),
}

/// Writes a snapshot: one JSON line with format, version, length and SHA-256, then the JSON of the
/// configuration, compressed by DEFLATE.
///
/// The plain JSON is never held as a whole: at the design size it has 119 MB, which a VM that may
/// use 128 MB does not have next to the configuration.
pub fn encode(config: &FleetConfig) -> Result<Vec<u8>, SnapshotError> {
    let unwritable = |e: serde_json::Error| SnapshotError::Unwritable(e.to_string().into());
    let mut body = compress(config).map_err(|e| SnapshotError::Unwritable(e.to_string().into()))?;
    let header = Header {
        format: FORMAT,
        version: config.version,
        length: body.len(),
        sha256: checksum(&body),
    };
    let mut line = serde_json::to_vec(&header).map_err(unwritable)?;
    line.push(b'\n');
    // In place, since a second copy would take 23 MB at the design size.
    body.splice(0..0, line);
    Ok(body)
}

/// Reads a snapshot and checks it.
pub fn decode(bytes: &[u8]) -> Result<FleetConfig, SnapshotError> {
    let damaged = |e: serde_json::Error| SnapshotError::Damaged(e.to_string().into());
    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
        return Err(SnapshotError::Truncated { found: bytes.len(), expected: 0 });
    };
    let (line, body) = (&bytes[..end], &bytes[end + 1..]);
    let header: Header = serde_json::from_slice(line).map_err(damaged)?;
    if header.format != FORMAT {
        return Err(SnapshotError::Format(header.format));
    }
    if body.len() < header.length {
        let expected = header.length.saturating_add(end + 1);
        return Err(SnapshotError::Truncated { found: bytes.len(), expected });
    }
    if body.len() > header.length {
        return Err(SnapshotError::Damaged("bytes after its end".into()));
    }
    if checksum(body) != header.sha256 {
        return Err(SnapshotError::Checksum);
    }
    let json = BufReader::with_capacity(BUFFER, DeflateDecoder::new(body));
    let config: FleetConfig = serde_json::from_reader(json).map_err(damaged)?;
    if config.version != header.version {
        return Err(SnapshotError::Damaged("its versions differ".into()));
    }
    Ok(config)
}

fn compress(config: &FleetConfig) -> io::Result<Vec<u8>> {
    let encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let mut json = BufWriter::with_capacity(BUFFER, encoder);
    serde_json::to_writer(&mut json, config)?;
    json.into_inner()?.finish()
}

fn checksum(body: &[u8]) -> Box<str> {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(body) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
