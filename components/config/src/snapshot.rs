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

/// Snapshot format that this release reads and writes.
const FORMAT_VERSION: u32 = 1;

/// Buffer between JSON and compression, as compressing and decompressing single bytes is slow.
const BUFFER_BYTES: usize = 64 * 1024;

/// First line of a snapshot, followed by the configuration as compressed JSON.
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
    /// The snapshot ends too early.
    #[error("the snapshot ends after {found} of {expected} bytes; use an older one")]
    Truncated {
        /// Length of the snapshot in bytes.
        found: usize,
        /// Expected length in bytes; 0 if the header is incomplete.
        expected: usize,
    },
    /// The checksum of the configuration differs from the one in the header.
    #[error("the snapshot does not match its checksum; use an older one")]
    Checksum,
    /// The header or the configuration cannot be parsed.
    #[error("the snapshot is damaged ({0}); use an older one")]
    Corrupt(Box<str>),
    /// The snapshot has the format of another release.
    #[error("the snapshot has format {0} and this release reads {FORMAT_VERSION}; update this VM")]
    Format(u32),
    /// The configuration cannot be encoded.
    #[error(
        "the configuration cannot be encoded as a snapshot ({0}); report this with the last change"
    )]
    Encode(Box<str>),
}

/// Encodes a snapshot: one JSON line with format, version, length and SHA-256, then the JSON of the
/// configuration, compressed with DEFLATE.
///
/// The JSON is compressed as it is written: at the design size it has 119 MB, which does not fit
/// next to the configuration into the 128 MB that a VM may use.
pub fn encode(config: &FleetConfig) -> Result<Vec<u8>, SnapshotError> {
    let encode_error = |e: serde_json::Error| SnapshotError::Encode(e.to_string().into());
    let mut body = compress(config).map_err(|e| SnapshotError::Encode(e.to_string().into()))?;
    let header = Header {
        format: FORMAT_VERSION,
        version: config.version,
        length: body.len(),
        sha256: checksum(&body),
    };
    let mut line = serde_json::to_vec(&header).map_err(encode_error)?;
    line.push(b'\n');
    // Inserted in place: a second copy of the body would take 23 MB at the design size.
    body.splice(0..0, line);
    Ok(body)
}

/// Decodes a snapshot and verifies its checksum.
pub fn decode(bytes: &[u8]) -> Result<FleetConfig, SnapshotError> {
    let corrupt = |e: serde_json::Error| SnapshotError::Corrupt(e.to_string().into());
    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
        return Err(SnapshotError::Truncated { found: bytes.len(), expected: 0 });
    };
    let (line, body) = (&bytes[..end], &bytes[end + 1..]);
    let header: Header = serde_json::from_slice(line).map_err(corrupt)?;
    if header.format != FORMAT_VERSION {
        return Err(SnapshotError::Format(header.format));
    }
    if body.len() < header.length {
        let expected = header.length.saturating_add(end + 1);
        return Err(SnapshotError::Truncated { found: bytes.len(), expected });
    }
    if body.len() > header.length {
        return Err(SnapshotError::Corrupt("it has bytes after its end".into()));
    }
    if checksum(body) != header.sha256 {
        return Err(SnapshotError::Checksum);
    }
    let json = BufReader::with_capacity(BUFFER_BYTES, DeflateDecoder::new(body));
    let config: FleetConfig = serde_json::from_reader(json).map_err(corrupt)?;
    if config.version != header.version {
        return Err(SnapshotError::Corrupt("the versions in header and body differ".into()));
    }
    Ok(config)
}

fn compress(config: &FleetConfig) -> io::Result<Vec<u8>> {
    let encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let mut json = BufWriter::with_capacity(BUFFER_BYTES, encoder);
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
