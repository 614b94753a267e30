/// Short hash of a name for messages between VMs (FNV-1a): the same in every process, which the
/// hasher of the standard library does not promise.
pub fn short_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
