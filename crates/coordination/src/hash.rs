//! A hash function that is stable across processes and releases, unlike the default hasher of the
//! standard library.

/// Hashes bytes with FNV-1a and mixes the result, because plain FNV-1a hashes of short, similar
/// names differ in only a few bits.
#[must_use]
pub fn bytes(seed: u64, bytes: &[u8]) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ seed;
    let fnv = bytes.iter().fold(start, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    mix(fnv)
}

/// Spreads every input bit over the whole output, using the finalizer of SplitMix64.
#[must_use]
pub fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
