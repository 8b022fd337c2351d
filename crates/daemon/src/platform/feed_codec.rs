//! Messages of the feed between instances, and their encoding.

use std::time::Duration;

use bincode::{
    config::{Configuration, Limit, LittleEndian, Varint},
    error::{DecodeError, EncodeError},
};
use rosemarybank_coordination::{feed::FeedPosition, source::Member};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{CrashSign, directory::ListUpdate};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum size of a message in bytes, which also limits allocations during decoding. A list of
/// 3,900 replicas takes half a megabyte, a configuration a few megabytes.
pub const MAX_LEN: usize = 8 << 20;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_LEN>> =
    bincode::config::standard().with_limit::<MAX_LEN>();

/// Fingerprint of a quarantined request and the remaining time of its quarantine.
pub type Quarantined = (Fingerprint, Duration);

/// Request of a follower, which states what it already has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// What the follower has of the state of its source.
    pub position: FeedPosition,
    /// Requests in the quarantine of the sender.
    pub quarantined: Vec<Quarantined>,
    /// Crashes that the sender knows of.
    pub crash_signs: Vec<CrashSign>,
}

/// Response of a source, with what the follower lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedResponse {
    /// What the source has.
    pub position: FeedPosition,
    /// Time since the store was read; `None` if it has not been read yet.
    pub age: Option<Duration>,
    /// Replicas, as changes or as a complete list.
    pub replicas: ListUpdate,
    /// Compressed JSON text of the configuration, if it is newer than the follower's.
    pub config: Option<Vec<u8>>,
    /// Requests in the quarantine of the sender.
    pub quarantined: Vec<Quarantined>,
    /// Crashes that the sender knows of.
    pub crash_signs: Vec<CrashSign>,
    /// Time since the list of the instances was requested from the store; `None` if there is none yet.
    pub members_age: Option<Duration>,
    /// The list of the instances, if it is another one than the follower's.
    pub members: Option<Vec<Member>>,
}

/// Encodes a message.
///
/// # Errors
///
/// Fails when the message exceeds [`MAX_LEN`].
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(message, CONFIG)
}

/// Decodes a message. A length prefix cannot cause an allocation beyond [`MAX_LEN`].
///
/// # Errors
///
/// Fails when the message is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, CONFIG).map(|it| it.0)
}
