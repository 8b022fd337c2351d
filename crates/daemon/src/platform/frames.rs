//! What instances say to one another, and its encoding.

use std::time::Duration;

use bincode::{
    config::{Configuration, Limit, LittleEndian, Varint},
    error::{DecodeError, EncodeError},
};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::directory::ListUpdate;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest frame in bytes, and most memory that decoding one may claim: a list of 3,900 replicas
/// takes half a megabyte, a configuration a few.
pub const MAX_LEN: usize = 8 << 20;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_LEN>> =
    bincode::config::standard().with_limit::<MAX_LEN>();

/// A request in quarantine and the time that is left.
pub type Quarantined = (Fingerprint, Duration);

/// What a follower has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Lifetime of the instance whose changes are counted.
    pub epoch: u64,
    /// Changes of the list that the follower has.
    pub seq: u64,
    /// Version of its configuration.
    pub config_version: u64,
    /// Changes of the other's quarantine that it has.
    pub quarantine_seq: u64,
    /// Requests that it has in quarantine.
    pub quarantined: Vec<Quarantined>,
}

/// What the other has beyond that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// Its lifetime.
    pub epoch: u64,
    /// Changes of its list so far.
    pub seq: u64,
    /// Time since the read of the store on which all of it rests; `None` if there was none.
    pub age: Option<Duration>,
    /// The replicas.
    pub replicas: ListUpdate,
    /// Text of the configuration, if it is newer.
    pub config: Option<Vec<u8>>,
    /// Changes of its quarantine so far.
    pub quarantine_seq: u64,
    /// Requests that it has in quarantine.
    pub quarantined: Vec<Quarantined>,
}

/// Encodes a frame.
///
/// # Errors
///
/// Fails when it would be too long.
pub fn encode(frame: &impl Serialize) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(frame, CONFIG)
}

/// Decodes a frame. A length that it states costs no more memory than a whole frame may.
///
/// # Errors
///
/// Fails when it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, CONFIG).map(|it| it.0)
}
