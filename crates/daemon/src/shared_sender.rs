//! Sending end of a ring that the tasks of one I/O thread share.

use std::{
    collections::VecDeque,
    future::poll_fn,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::Poll,
};

use rosemarybank_ring::{SendError, Sender};
use tokio::sync::Notify;

/// Shares the sending end of a ring. Items that must not be lost wait here while it is full.
pub struct SharedSender<T> {
    inner: Arc<Inner<T>>,
}

struct Inner<T> {
    state: Mutex<State<T>>,
    held_items: Notify,
}

struct State<T> {
    ring: Sender<T>,
    held: VecDeque<T>,
}

impl<T> Clone for SharedSender<T> {
    fn clone(&self) -> SharedSender<T> {
        SharedSender { inner: Arc::clone(&self.inner) }
    }
}

impl<T> SharedSender<T> {
    /// Shares `ring`. [`SharedSender::pump`] must run for held items to be sent.
    #[must_use]
    pub fn new(ring: Sender<T>) -> SharedSender<T> {
        let state = Mutex::new(State { ring, held: VecDeque::new() });
        SharedSender { inner: Arc::new(Inner { state, held_items: Notify::new() }) }
    }

    /// Sends an item if there is space now.
    ///
    /// # Errors
    ///
    /// Gives the item back when the ring is full or closed, or when held items come first.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        let mut state = self.lock();
        if !state.held.is_empty() {
            return Err(item);
        }
        state.ring.try_send(item).map_err(|(SendError::Full(it) | SendError::Closed(it))| it)
    }

    /// Sends an item, and holds it while the ring is full.
    ///
    /// Items for a receiver that is gone are dropped: that happens only at the end of a stop.
    pub fn send(&self, item: T) {
        let mut state = self.lock();
        if state.held.is_empty() {
            match state.ring.try_send(item) {
                Ok(()) | Err(SendError::Closed(_)) => return,
                Err(SendError::Full(item)) => state.held.push_back(item),
            }
        } else {
            state.held.push_back(item);
        }
        drop(state);
        self.inner.held_items.notify_one();
    }

    /// Sends held items as space appears. Runs until the receiver is gone.
    pub async fn pump(self) {
        loop {
            self.inner.held_items.notified().await;
            let flushed = poll_fn(|cx| {
                let mut state = self.lock();
                let State { ring, held } = &mut *state;
                while let Some(item) = held.pop_front() {
                    let mut item = Some(item);
                    match ring.poll_send(cx, &mut item) {
                        Poll::Ready(Ok(())) => {}
                        Poll::Ready(Err(closed)) => return Poll::Ready(Err(closed)),
                        Poll::Pending => {
                            if let Some(item) = item {
                                held.push_front(item);
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
