use std::io::{self, Read, Write};

use zstd::stream::{read, write};

/// Compression level: the VMs have a fraction of a core.
const LEVEL: i32 = 1;
/// Upper bound of a decompressed text, so that damaged bytes cannot fill the memory.
const MAX_TEXT_BYTES: u64 = 32 << 20;
/// Bounds of the window, as powers of two. The upper one is what a decoder accepts by default.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 27;

/// Compresses a text, with another one as the dictionary if `base` is not empty.
pub fn compress(text: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    let size = (base.len() + text.len()).max(1);
    encoder.window_log((size.ilog2() + 1).clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG))?;
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    encoder.write_all(text)?;
    encoder.finish()
}

/// Decompresses a text. Fails if the bytes are damaged or `base` is not the one of the compression.
pub fn decompress(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = read::Decoder::with_ref_prefix(bytes, base)?;
    let mut text = Vec::new();
    decoder.take(MAX_TEXT_BYTES + 1).read_to_end(&mut text)?;
    if text.len() as u64 > MAX_TEXT_BYTES {
        return Err(io::Error::other("the decompressed text is too large"));
    }
    Ok(text)
}
