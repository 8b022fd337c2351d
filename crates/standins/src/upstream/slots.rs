//! Execution slots with a bounded queue.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use rosemarybank_protocol::upstream::Load;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots of one replica. Waiting requests are served in the order of their arrival.
#[derive(Clone)]
pub struct Slots {
    free: Arc<Semaphore>,
    queued: Arc<AtomicU32>,
    slots: u32,
    queue: u32,
}

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Slots {
    /// Builds `slots` slots, before which at most `queue` requests wait.
    #[must_use]
    pub fn new(slots: u32, queue: u32) -> Slots {
        let free = Arc::new(Semaphore::new(slots as usize));
        Slots { free, queued: Arc::default(), slots, queue }
    }

    /// Waits for a slot, which is free again when the permit is dropped. A wait that is dropped
    /// leaves the queue.
    ///
    /// # Errors
    ///
    /// Fails at once when the queue is full.
    pub async fn acquire(&self) -> Result<OwnedSemaphorePermit, Full> {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return Ok(permit);
        }
        let _place = Place::take(&self.queued, self.queue).ok_or(Full)?;
        Ok(self.free.clone().acquire_owned().await.expect("the semaphore is never closed"))
    }

    /// Present load.
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

struct Place(Arc<AtomicU32>);

impl Place {
    fn take(queued: &Arc<AtomicU32>, max: u32) -> Option<Place> {
        if queued.fetch_add(1, Ordering::Relaxed) >= max {
            queued.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(Place(queued.clone()))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
