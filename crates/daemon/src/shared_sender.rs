//! Sender of a ring that is shared by the tasks of one I/O thread.

use std::{
    collections::VecDeque,
    future::poll_fn,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::Poll,
};

use rosemarybank_ring::{SendError, Sender};
use tokio::sync::Notify;

/// Ring sender shared by several tasks, with an unbounded queue for items that must not be lost
/// while the ring is full. Clones share the ring and the queue.
pub struct SharedSender<T> {
    inner: Arc<Inner<T>>,
}

struct Inner<T> {
    state: Mutex<State<T>>,
    item_queued: Notify,
}

struct State<T> {
    ring: Sender<T>,
    queue: VecDeque<T>,
}

impl<T> Clone for SharedSender<T> {
    fn clone(&self) -> SharedSender<T> {
        SharedSender { inner: Arc::clone(&self.inner) }
    }
}

impl<T> SharedSender<T> {
    /// Wraps a ring sender. Queued items are sent only while [`SharedSender::pump`] runs.
    #[must_use]
    pub fn new(ring: Sender<T>) -> SharedSender<T> {
        let state = Mutex::new(State { ring, queue: VecDeque::new() });
        SharedSender { inner: Arc::new(Inner { state, item_queued: Notify::new() }) }
    }

    /// Sends an item if the ring has space.
    ///
    /// # Errors
    ///
    /// Returns the item when the ring is full or closed, or when queued items have to go first.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        let mut state = self.lock();
        if !state.queue.is_empty() {
            return Err(item);
        }
        state.ring.try_send(item).map_err(|(SendError::Full(it) | SendError::Closed(it))| it)
    }

    /// Sends an item, or queues it when the ring is full.
    ///
    /// The item is dropped if the receiver is closed, which happens only at the end of a shutdown.
    pub fn send(&self, item: T) {
        let mut state = self.lock();
        if state.queue.is_empty() {
            match state.ring.try_send(item) {
                Ok(()) | Err(SendError::Closed(_)) => return,
                Err(SendError::Full(item)) => state.queue.push_back(item),
            }
        } else {
            state.queue.push_back(item);
        }
        drop(state);
        self.inner.item_queued.notify_one();
    }

    /// Sends queued items as the ring gets space. Runs until the receiver is closed.
    pub async fn pump(self) {
        loop {
            self.inner.item_queued.notified().await;
            let flushed = poll_fn(|cx| {
                let mut state = self.lock();
                let State { ring, queue } = &mut *state;
                while let Some(item) = queue.pop_front() {
                    let mut item = Some(item);
                    match ring.poll_send(cx, &mut item) {
                        Poll::Ready(Ok(())) => {}
                        Poll::Ready(Err(closed)) => return Poll::Ready(Err(closed)),
                        Poll::Pending => {
                            if let Some(item) = item {
                                queue.push_front(item);
                            }
                            return Poll::Pending;
                        }
                    }
                }
                Poll::Ready(Ok(()))
            });
            if flushed.await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
