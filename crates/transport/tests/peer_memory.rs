//! Memory of the decoder. The only test of its process, because it reads the process's memory.

use rosemarybank_protocol::peer::PEER_PROTOCOL_VERSION;
use rosemarybank_transport::peer::codec::decode;

/// Guards against lengths that are claimed by a few bytes and allocated at once.
#[test]
fn claimed_lengths_are_not_allocated() {
    let version = PEER_PROTOCOL_VERSION as u8;
    // A u64 length of 2^40 in bincode's variable form, little endian.
    let huge = [253, 0, 0, 0, 0, 0, 1, 0, 0];
    let name = [version, 2, b'e', b'1'];
    let hostile = [
        // The sender's name.
        [&[version][..], &huge].concat(),
        // The bundle text of ConfigPush(Whole): version, signer and then the length.
        [&name[..], &[2, 1, 1, 0], &huge].concat(),
        // The edits of ConfigPush(Delta): base, version, signer, signature and then the length.
        [&name[..], &[2, 2, 1, 2, 0, 0], &huge].concat(),
        // The inserted lines of the first edit.
        [&name[..], &[2, 2, 1, 2, 0, 0, 1, 0, 0], &huge].concat(),
        // The entries of QuarantinePush.
        [&name[..], &[3], &huge].concat(),
    ];
    let before = peak_kib();
    for bytes in &hostile {
        assert!(decode(bytes).is_err(), "{bytes:?}");
    }
    let grown = peak_kib() - before;
    assert!(grown < 64 << 10, "the address space grew by {grown} KiB");
}

fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|it| it.starts_with("VmPeak:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
