use std::{
    error::Error,
    fmt,
    future::poll_fn,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker},
};

use atomic_waker::AtomicWaker;
use rtrb::{Consumer, Producer, PushError, RingBuffer};

/// Creates a channel whose ring buffer holds up to `capacity` items.
///
/// # Examples
///
/// ```
/// let (mut tx, mut rx) = rosemarybank_ring::channel(2);
/// tx.try_send(1).unwrap();
/// tx.try_send(2).unwrap();
/// assert!(tx.try_send(3).is_err());
/// assert_eq!(rx.try_recv(), Some(1));
/// ```
#[must_use]
pub fn channel<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let shared = Arc::new(Shared::default());
    (Sender { producer, shared: Arc::clone(&shared) }, Receiver { consumer, shared })
}

/// Wakers of both ends, and whether either end was dropped.
#[derive(Default)]
struct Shared {
    receiver_waker: AtomicWaker,
    sender_waker: AtomicWaker,
    closed: AtomicBool,
}

impl Shared {
    fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.receiver_waker.wake();
        self.sender_waker.wake();
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

/// Sending end of a channel.
pub struct Sender<T> {
    producer: Producer<T>,
    shared: Arc<Shared>,
}

impl<T> Sender<T> {
    /// Appends an item without waiting.
    ///
    /// # Errors
    ///
    /// Returns the item when the ring is full or the receiver was dropped.
    pub fn try_send(&mut self, item: T) -> Result<(), SendError<T>> {
        if self.shared.is_closed() {
            return Err(SendError::Closed(item));
        }
        match self.producer.push(item) {
            Ok(()) => {
                self.shared.receiver_waker.wake();
                Ok(())
            }
            Err(PushError::Full(item)) => Err(SendError::Full(item)),
        }
    }

    /// Appends an item, waiting while the ring is full.
    ///
    /// # Errors
    ///
    /// Fails when the receiver was dropped.
    pub async fn send(&mut self, item: T) -> Result<(), Closed> {
        let mut pending = Some(item);
        poll_fn(|cx| self.poll_send(cx, &mut pending)).await
    }

    /// Appends the item in `pending`, or registers the task to be woken when a slot is free.
    ///
    /// Returns `Ready(Ok(()))` once `pending` is empty. On `Pending` and on failure the item stays
    /// in `pending`.
    pub fn poll_send(
        &mut self,
        cx: &mut Context<'_>,
        pending: &mut Option<T>,
    ) -> Poll<Result<(), Closed>> {
        for is_registered in [false, true] {
            let Some(item) = pending.take() else { return Poll::Ready(Ok(())) };
            match self.try_send(item) {
                Ok(()) => return Poll::Ready(Ok(())),
                Err(SendError::Closed(item)) => {
                    *pending = Some(item);
                    return Poll::Ready(Err(Closed));
                }
                Err(SendError::Full(item)) => *pending = Some(item),
            }
            // The receiver may free a slot between the first attempt and the registration, so a
            // second attempt follows the registration.
            if !is_registered {
                self.set_waker(cx.waker());
            }
        }
        Poll::Pending
    }

    /// Sets the waker that is called when an item is taken or the receiver is dropped.
    pub fn set_waker(&self, waker: &Waker) {
        self.shared.sender_waker.register(waker);
    }

    /// Number of free slots.
    #[must_use]
    pub fn free_slots(&self) -> usize {
        self.producer.slots()
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.shared.close();
    }
}

/// Receiving end of a channel.
pub struct Receiver<T> {
    consumer: Consumer<T>,
    shared: Arc<Shared>,
}

impl<T> Receiver<T> {
    /// Takes the oldest item, or returns `None` when the ring is empty.
    pub fn try_recv(&mut self) -> Option<T> {
        let item = self.consumer.pop().ok()?;
        self.shared.sender_waker.wake();
        Some(item)
    }

    /// Takes the oldest item, waiting while the ring is empty.
    ///
    /// Returns `None` once the ring is empty and the sender was dropped.
    pub async fn recv(&mut self) -> Option<T> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// Takes the oldest item, or registers the task to be woken when one arrives.
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<T>> {
        if let Some(item) = self.try_recv() {
            return Poll::Ready(Some(item));
        }
        self.set_waker(cx.waker());
        // The sender may send or close between the first attempt and the registration. The flag
        // is read before the second attempt, because items sent before the close must still be
        // delivered.
        let closed = self.is_closed();
        match self.try_recv() {
            Some(item) => Poll::Ready(Some(item)),
            None if closed => Poll::Ready(None),
            None => Poll::Pending,
        }
    }

    /// Sets the waker that is called when an item arrives or the sender is dropped.
    pub fn set_waker(&self, waker: &Waker) {
        self.shared.receiver_waker.register(waker);
    }

    /// Whether the sender was dropped. Items may remain in the ring.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed()
    }

    /// Number of items in the ring.
    #[must_use]
    pub fn len(&self) -> usize {
        self.consumer.slots()
    }

    /// Whether the ring is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.consumer.is_empty()
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        self.shared.close();
    }
}

/// Error of [`Sender::try_send`], which returns the unsent item.
#[derive(Debug, PartialEq, Eq)]
pub enum SendError<T> {
    /// The ring is full.
    Full(T),
    /// The receiver was dropped.
    Closed(T),
}

impl<T> fmt::Display for SendError<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SendError::Full(_) => "the ring is full",
            SendError::Closed(_) => "the receiver was dropped",
        })
    }
}

impl<T: fmt::Debug> Error for SendError<T> {}

/// The receiver was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the receiver was dropped")
    }
}

impl Error for Closed {}
