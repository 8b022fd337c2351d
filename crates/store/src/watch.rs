//! Watches that resume from the last revision after a failure.

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, sleep_until};

use crate::{
    backoff::Backoff,
    client::{Changes, StoreClient},
    outcome::{CallError, Listing, ObjectVersion},
};

/// Follows the objects under a prefix.
pub struct Watch {
    client: StoreClient,
    prefix: CompactString,
    /// Revision up to which events were returned; `None` when the next event must be a list.
    last_revision: Option<u64>,
    backoff: Backoff,
    /// Time of the next call after a failure.
    retry_at: Option<Instant>,
}

/// Event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// All objects under the prefix; objects that are not listed no longer exist. This is the first
    /// event, and it is repeated when the platform no longer keeps the changes since the last event.
    Listed(Listing),
    /// Changes since the last event, in the order of their revisions.
    Changed(Vec<ObjectChange>),
    /// A call failed. The watch retries after a delay.
    Interrupted(CallError),
}

/// State of an object after a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectChange {
    /// Path of the object.
    pub path: CompactString,
    /// Version of the object, or the revision of its deletion.
    pub version: ObjectVersion,
    /// Value as JSON text; `None` after a deletion.
    pub value: Option<Bytes>,
}

impl Watch {
    pub(crate) fn new(client: StoreClient, prefix: &str) -> Watch {
        let settings = client.settings();
        let prefix = CompactString::from(prefix);
        // Hashing the prefix into the seed gives watches of different prefixes different jitter.
        let seed = prefix
            .bytes()
            .fold(settings.seed, |seed, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)));
        let backoff = Backoff::new(settings.backoff_base, settings.backoff_cap, seed);
        Watch { client, prefix, last_revision: None, backoff, retry_at: None }
    }

    /// Waits for the next event. Cancel-safe: dropping the future loses no event.
    pub async fn next(&mut self) -> WatchEvent {
        loop {
            if let Some(at) = self.retry_at {
                sleep_until(at).await;
            }
            let result = match self.last_revision {
                None => self.list().await.map(Some),
                Some(after) => self.changes(after).await,
            };
            match result {
                Ok(event) => {
                    self.retry_at = None;
                    if let Some(event) = event {
                        return event;
                    }
                }
                // Without the delay, a platform that always reports the revision as compacted would
                // cause a busy loop.
                Err(CallError::Compacted) => {
                    self.last_revision = None;
                    self.schedule_retry();
                }
                Err(err) => {
                    self.schedule_retry();
                    return WatchEvent::Interrupted(err);
                }
            }
        }
    }

    fn schedule_retry(&mut self) {
        self.retry_at = Some(Instant::now() + self.backoff.next_delay());
    }

    async fn list(&mut self) -> Result<WatchEvent, CallError> {
        let listing = self.client.list(&self.prefix).await?;
        self.last_revision = Some(listing.revision);
        Ok(WatchEvent::Listed(listing))
    }

    async fn changes(&mut self, after: u64) -> Result<Option<WatchEvent>, CallError> {
        let Changes { revision, changes } = self.client.changes(&self.prefix, after).await?;
        self.last_revision = Some(revision);
        self.backoff.reset();
        Ok((!changes.is_empty()).then_some(WatchEvent::Changed(changes)))
    }
}
