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

/// Makes a ring that holds up to `capacity` items.
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

#[derive(Default)]
struct Shared {
    readable: AtomicWaker,
    writable: AtomicWaker,
    closed: AtomicBool,
}

impl Shared {
    fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.readable.wake();
        self.writable.wake();
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

/// Writing end of a ring.
pub struct Sender<T> {
    producer: Producer<T>,
    shared: Arc<Shared>,
}

impl<T> Sender<T> {
    /// Appends an item without waiting.
    ///
    /// # Errors
    ///
    /// Gives the item back when the ring is full or its receiver is gone.
    pub fn try_send(&mut self, item: T) -> Result<(), SendError<T>> {
        if self.shared.is_closed() {
            return Err(SendError::Closed(item));
        }
        match self.producer.push(item) {
            Ok(()) => {
                self.shared.readable.wake();
                Ok(())
            }
            Err(PushError::Full(item)) => Err(SendError::Full(item)),
        }
    }

    /// Appends an item, and waits while the ring is full.
    ///
    /// # Errors
    ///
    /// Fails when the receiver is gone.
    pub async fn send(&mut self, item: T) -> Result<(), Closed> {
        let mut held = Some(item);
        poll_fn(|cx| self.poll_send(cx, &mut held)).await
    }

    /// Appends the held item, or registers the task to be woken when there is space.
    ///
    /// Ready with `Ok` when nothing is held any more. After a failure the item stays held.
    pub fn poll_send(
        &mut self,
        cx: &mut Context<'_>,
        held: &mut Option<T>,
    ) -> Poll<Result<(), Closed>> {
        for registered in [false, true] {
            let Some(item) = held.take() else { return Poll::Ready(Ok(())) };
            match self.try_send(item) {
                Ok(()) => return Poll::Ready(Ok(())),
                Err(SendError::Closed(item)) => {
                    *held = Some(item);
                    return Poll::Ready(Err(Closed));
                }
                Err(SendError::Full(item)) => *held = Some(item),
            }
            // A second try after registration closes the race with a concurrent receive.
            if !registered {
                self.set_waker(cx.waker());
            }
        }
        Poll::Pending
    }

    /// Registers who is woken when an item is taken or the receiver is dropped.
    pub fn set_waker(&self, waker: &Waker) {
        self.shared.writable.register(waker);
    }

    /// Number of items that fit now.
    #[must_use]
    pub fn free(&self) -> usize {
        self.producer.slots()
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.shared.close();
    }
}

/// Reading end of a ring.
pub struct Receiver<T> {
    consumer: Consumer<T>,
    shared: Arc<Shared>,
}

impl<T> Receiver<T> {
    /// Takes the oldest item, if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        let item = self.consumer.pop().ok()?;
        self.shared.writable.wake();
        Some(item)
    }

    /// Takes the oldest item, and waits while the ring is empty.
    ///
    /// `None` when the ring is empty and its sender is gone.
    pub async fn recv(&mut self) -> Option<T> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// Takes the oldest item, or registers the task to be woken when there is one.
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<T>> {
        if let Some(item) = self.try_recv() {
            return Poll::Ready(Some(item));
        }
        self.set_waker(cx.waker());
        // The sender may have sent or closed between the first look and the registration. The
        // flag is read first, because items sent before the close must still be delivered.
        let closed = self.is_closed();
        match self.try_recv() {
            Some(item) => Poll::Ready(Some(item)),
            None if closed => Poll::Ready(None),
            None => Poll::Pending,
        }
    }

    /// Registers who is woken when an item arrives or the sender is dropped.
    pub fn set_waker(&self, waker: &Waker) {
        self.shared.readable.register(waker);
    }

    /// Whether the sender is gone. Items may still be left in the ring.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed()
    }

    /// Number of items in the ring.
    #[must_use]
    pub fn len(&self) -> usize {
        self.consumer.slots()
    }

    /// Whether the ring holds no item.
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

/// Why an item was not sent; it is given back.
#[derive(Debug, PartialEq, Eq)]
pub enum SendError<T> {
    /// The ring is full.
    Full(T),
    /// The receiver is gone.
    Closed(T),
}

impl<T> fmt::Display for SendError<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SendError::Full(_) => "the ring is full",
            SendError::Closed(_) => "the receiver is gone",
        })
    }
}

impl<T: fmt::Debug> Error for SendError<T> {}

/// The other end of the ring is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the other end of the ring is gone")
    }
}

impl Error for Closed {}
