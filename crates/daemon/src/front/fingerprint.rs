use rosemarybank_protocol::id::Fingerprint;
use sha2::{Digest, Sha256};

/// Fingerprint of a search: its service and its text with runs of white space made one space.
///
/// It is the same at every instance, because quarantine entries are shared. Letter case is kept:
/// a request that crashes upstreams must not drag down one that differs from it.
pub(super) fn of_search(service: &str, query: &str) -> Fingerprint {
    let mut hash = Sha256::new_with_prefix(b"search\0");
    hash.update(service);
    for word in query.split_whitespace() {
        hash.update(b"\0");
        hash.update(word);
    }
    first_word(hash)
}

/// Fingerprint of an action: its service and its exact body.
pub(super) fn of_action(service: &str, body: &str) -> Fingerprint {
    let mut hash = Sha256::new_with_prefix(b"action\0");
    hash.update(service);
    hash.update(b"\0");
    hash.update(body);
    first_word(hash)
}

fn first_word(hash: Sha256) -> Fingerprint {
    let digest = hash.finalize();
    let mut word = [0; 8];
    word.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(word)
}
