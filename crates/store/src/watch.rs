//! Watches that resume where they were interrupted.

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, sleep_until};

use crate::{
    backoff::Backoff,
    client::{Changes, StoreClient},
    outcome::{CallError, Listing, ObjectVersion},
};

/// Follows the objects below a prefix.
pub struct Watch {
    client: StoreClient,
    prefix: CompactString,
    /// Revision up to which events were returned; `None` when a list must come first.
    position: Option<u64>,
    backoff: Backoff,
    not_before: Option<Instant>,
}

/// What a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The whole state; objects that it lacks are gone. It comes first, and again whenever the
    /// platform no longer keeps the changes since the last event.
    Listed(Listing),
    /// Changes since the last event, oldest first.
    Changed(Vec<ObjectChange>),
    /// The platform cannot be reached or fails. The watch goes on after a delay.
    Interrupted(CallError),
}

/// The present state of an object that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectChange {
    /// Path of the object.
    pub path: CompactString,
    /// Version of the object, or revision of its removal.
    pub version: ObjectVersion,
    /// JSON text; `None` after a removal.
    pub value: Option<Bytes>,
}

impl Watch {
    pub(crate) fn new(client: StoreClient, prefix: &str) -> Watch {
        let settings = client.settings();
        let prefix = CompactString::from(prefix);
        // Watches of one client on different prefixes must not share their jitter.
        let seed = prefix
            .bytes()
            .fold(settings.seed, |seed, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)));
        let backoff = Backoff::new(settings.backoff_base, settings.backoff_cap, seed);
        Watch { client, prefix, position: None, backoff, not_before: None }
    }

    /// Waits for the next event. No event is lost when the future is dropped.
    pub async fn next(&mut self) -> WatchEvent {
        loop {
            if let Some(at) = self.not_before {
                sleep_until(at).await;
            }
            let result = match self.position {
                None => self.list().await.map(Some),
                Some(after) => self.changes(after).await,
            };
            match result {
                Ok(event) => {
                    self.not_before = None;
                    if let Some(event) = event {
                        return event;
                    }
                }
                // The delay keeps a position that is always compacted from becoming a busy loop.
                Err(CallError::Compacted) => {
                    self.position = None;
                    self.delay();
                }
                Err(err) => {
                    self.delay();
                    return WatchEvent::Interrupted(err);
                }
            }
        }
    }

    fn delay(&mut self) {
        self.not_before = Some(Instant::now() + self.backoff.next_delay());
    }

    async fn list(&mut self) -> Result<WatchEvent, CallError> {
        let listing = self.client.list(&self.prefix).await?;
        self.position = Some(listing.revision);
        Ok(WatchEvent::Listed(listing))
    }

    async fn changes(&mut self, after: u64) -> Result<Option<WatchEvent>, CallError> {
        let Changes { revision, changes } = self.client.changes(&self.prefix, after).await?;
        self.position = Some(revision);
        self.backoff.reset();
        Ok((!changes.is_empty()).then_some(WatchEvent::Changed(changes)))
    }
}
