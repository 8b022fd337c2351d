//! Memory use of the peer message decoder.
//!
//! This file holds a single test, because the test measures the memory of the whole process.

use rosemarybank_protocol::peer::PEER_PROTOCOL_VERSION;
use rosemarybank_transport::peer::codec::decode;

/// Guards against allocating the huge length that a few bytes of a message claim.
#[test]
fn length_prefixes_do_not_cause_allocations() {
    let version = PEER_PROTOCOL_VERSION as u8;
    // A `u64` length of 2^40 as a little-endian bincode varint.
    let huge = [253, 0, 0, 0, 0, 0, 1, 0, 0];
    let header = [version, 2, b'e', b'1'];
    let messages = [
        // Length of the sender's name.
        [&[version][..], &huge].concat(),
        // Length of the bundle text of ConfigPush(Whole), after its version and signer.
        [&header[..], &[2, 1, 1, 0], &huge].concat(),
        // Number of edits of ConfigPush(Delta), after its base, version, signer and signature.
        [&header[..], &[2, 2, 1, 2, 0, 0], &huge].concat(),
        // Number of inserted lines of the first edit.
        [&header[..], &[2, 2, 1, 2, 0, 0, 1, 0, 0], &huge].concat(),
        // Number of entries of QuarantinePush.
        [&header[..], &[3], &huge].concat(),
    ];
    let peak_before = peak_kib();
    for bytes in &messages {
        assert!(decode(bytes).is_err(), "{bytes:?}");
    }
    let growth = peak_kib() - peak_before;
    assert!(growth < 64 << 10, "the address space grew by {growth} KiB");
}

/// Peak size of the address space of this process.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|it| it.starts_with("VmPeak:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
