/// Hashes a name with 32-bit FNV-1a for messages between VMs. Unlike the hasher of the standard
/// library it gives the same result in every process.
pub fn short_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
