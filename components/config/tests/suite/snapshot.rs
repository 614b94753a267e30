//! Corrupt and truncated snapshots.

use config::{SnapshotError, decode, encode};

use crate::common::example;

/// Guards against a VM that starts with the configuration of a truncated snapshot.
#[test]
fn truncation_is_detected_at_every_byte() {
    let bytes = encode(&example()).unwrap();
    assert_eq!(decode(&bytes).unwrap(), example());
    for length in 0..bytes.len() {
        let error = decode(&bytes[..length]).unwrap_err();
        assert!(matches!(error, SnapshotError::Truncated { .. }), "{length}: {error:?}");
    }
    let longer = [&bytes[..], b" "].concat();
    assert!(matches!(decode(&longer), Err(SnapshotError::Corrupt(_))));
}

/// Guards against a VM that starts with the configuration of a snapshot with a flipped bit.
#[test]
fn damage_is_detected_at_every_bit() {
    let bytes = encode(&example()).unwrap();
    let header = bytes.iter().position(|&b| b == b'\n').unwrap();
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            let result = decode(&damaged);
            assert!(result.is_err(), "bit {bit} of byte {at} of {}", bytes.len());
            if at > header {
                assert_eq!(result, Err(SnapshotError::Checksum));
            }
        }
    }
}
