//! Execution slots with a bounded queue.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use rosemarybank_protocol::upstream::Load;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Execution slots of a replica. Waiting requests get slots in order of arrival.
#[derive(Clone)]
pub struct Slots {
    free: Arc<Semaphore>,
    queued: Arc<AtomicU32>,
    slots: u32,
    max_queued: u32,
}

/// Error of a request that finds the queue full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

impl Slots {
    /// Builds `slots` execution slots with a queue for at most `max_queued` waiting requests.
    #[must_use]
    pub fn new(slots: u32, max_queued: u32) -> Slots {
        let free = Arc::new(Semaphore::new(slots as usize));
        Slots { free, queued: Arc::default(), slots, max_queued }
    }

    /// Waits for a slot. Dropping the permit releases the slot; dropping the future while it waits
    /// removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Fails at once when the queue is full.
    pub async fn acquire(&self) -> Result<OwnedSemaphorePermit, QueueFull> {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return Ok(permit);
        }
        let _queue_guard = QueueGuard::try_new(&self.queued, self.max_queued).ok_or(QueueFull)?;
        Ok(self.free.clone().acquire_owned().await.expect("the semaphore should never be closed"))
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        let free = u32::try_from(self.free.available_permits()).unwrap_or(u32::MAX);
        Load {
            in_flight: self.slots.saturating_sub(free),
            queued: self.queued.load(Ordering::Relaxed),
            slots: self.slots,
        }
    }
}

/// Counts a waiting request in the length of the queue until it is dropped.
struct QueueGuard(Arc<AtomicU32>);

impl QueueGuard {
    fn try_new(queued: &Arc<AtomicU32>, max_queued: u32) -> Option<QueueGuard> {
        if queued.fetch_add(1, Ordering::Relaxed) >= max_queued {
            queued.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(QueueGuard(queued.clone()))
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
