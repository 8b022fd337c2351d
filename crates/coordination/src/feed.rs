//! Decides when an instance answers a follower that waits for news of the platform state.
//!
//! Load pattern: some hundred instances follow a few in a tree, and nothing changes most of the time.
//! An answer is due as soon as the source has something that the follower lacks. A read of the store
//! without changes counts as well, since the follower must know the age of its state: an answer only
//! after a fixed wait would add that wait on each level of the tree. A source that cannot read the
//! store answers at once when its state is too old, so that its followers find another source before
//! they need the store themselves.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum time for which a request is held; longer than the interval at which the store is read.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(800);

/// What an instance has of the platform state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPosition {
    /// Epoch of the source to which the sequence numbers belong; it changes when the process
    /// restarts.
    pub epoch: u64,
    /// Sequence number of the last change of replicas.
    pub change_seq: u64,
    /// Version of the configuration.
    pub config_version: u64,
    /// Sequence number of the last change of the quarantine.
    pub quarantine_seq: u64,
    /// Sequence number of the last read of the store.
    pub read_seq: u64,
    /// Sequence number of the last list of the instances.
    pub list_seq: u64,
    /// Sequence number of the last change of the list of the instances; 0 if the owner lacks the list
    /// of the source.
    pub members_seq: u64,
}

impl FeedPosition {
    /// Whether `source` has something that the owner of this position lacks.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_coordination::feed::FeedPosition;
    ///
    /// let source = FeedPosition { epoch: 1, read_seq: 7, ..FeedPosition::default() };
    /// assert!(!source.is_behind(&source));
    /// assert!(FeedPosition { read_seq: 6, ..source }.is_behind(&source));
    /// assert!(!FeedPosition { config_version: 3, ..source }.is_behind(&source));
    /// ```
    #[must_use]
    pub fn is_behind(&self, source: &FeedPosition) -> bool {
        self.epoch != source.epoch
            || self.change_seq != source.change_seq
            || self.config_version < source.config_version
            || self.quarantine_seq != source.quarantine_seq
            || self.read_seq != source.read_seq
            || self.list_seq != source.list_seq
    }

    /// Whether the owner of this position lacks the list of the instances that `source` has.
    #[must_use]
    pub fn lacks_members(&self, source: &FeedPosition) -> bool {
        self.epoch != source.epoch || self.members_seq != source.members_seq
    }
}

/// State of a source that answers followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceState {
    /// It has no usable state and expects some, because it has just started or is looking for another
    /// source itself.
    Waiting,
    /// It should read the store but cannot, and its state is too old.
    Stale,
    /// It has usable state.
    Current(FeedPosition),
}

/// Returns whether a request that has been held since `held_since` is answered now.
#[must_use]
pub fn is_answer_due(
    now: Time,
    held_since: Time,
    follower: &FeedPosition,
    source: SourceState,
) -> bool {
    let has_news = match source {
        SourceState::Waiting => false,
        SourceState::Stale => true,
        SourceState::Current(position) => follower.is_behind(&position),
    };
    has_news || now >= held_since + LONG_POLL_WAIT
}
