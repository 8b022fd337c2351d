use rosemarybank_protocol::id::Fingerprint;
use sha2::{Digest, Sha256};

/// Computes the fingerprint of a search from its service and its query, ignoring differences in
/// white space.
///
/// All instances must compute the same fingerprint, because they share quarantine entries. Queries
/// that differ only in letter case get different fingerprints, because upstreams may treat them
/// differently: quarantining one must not block the other.
pub(super) fn for_search(service: &str, query: &str) -> Fingerprint {
    let mut hash = Sha256::new_with_prefix(b"search\0");
    hash.update(service);
    for word in query.split_whitespace() {
        hash.update(b"\0");
        hash.update(word);
    }
    truncated_digest(hash)
}

/// Computes the fingerprint of an action from its service and its exact body.
pub(super) fn for_action(service: &str, body: &str) -> Fingerprint {
    let mut hash = Sha256::new_with_prefix(b"action\0");
    hash.update(service);
    hash.update(b"\0");
    hash.update(body);
    truncated_digest(hash)
}

fn truncated_digest(hash: Sha256) -> Fingerprint {
    let digest = hash.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}
