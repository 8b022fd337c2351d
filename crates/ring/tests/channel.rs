//! Channels between threads.

use std::{
    pin::pin,
    task::{Context, Poll, Waker},
    thread,
    time::Duration,
};

use rosemarybank_ring::{Closed, SendError, channel, thread_waker};

fn block_on<F: Future>(fut: F) -> F::Output {
    let waker = thread_waker();
    let mut cx = Context::from_waker(&waker);
    let mut fut = pin!(fut);
    loop {
        match fut.as_mut().poll(&mut cx) {
            Poll::Ready(out) => return out,
            Poll::Pending => thread::park_timeout(Duration::from_secs(10)),
        }
    }
}

/// Guards against lost wake-ups, lost items and reordering when both ends of a small ring wait in
/// turn.
#[test]
fn items_are_received_in_order_through_a_small_ring() {
    const ITEMS: u32 = 200_000;
    let (mut tx, mut rx) = channel(3);
    let sender = thread::spawn(move || {
        block_on(async {
            for n in 0..ITEMS {
                tx.send(n).await.unwrap();
            }
        });
    });
    let received = block_on(async {
        let mut received = Vec::new();
        while let Some(n) = rx.recv().await {
            received.push(n);
        }
        received
    });
    sender.join().unwrap();
    assert!(received.iter().copied().eq(0..ITEMS), "{} items", received.len());
}

/// Guards against losing items whose sender was dropped right after sending them.
#[test]
fn items_sent_before_the_sender_is_dropped_are_delivered() {
    let (mut tx, mut rx) = channel(4);
    tx.try_send(1).unwrap();
    tx.try_send(2).unwrap();
    drop(tx);
    assert_eq!(block_on(rx.recv()), Some(1));
    assert_eq!(block_on(rx.recv()), Some(2));
    assert_eq!(block_on(rx.recv()), None);
}

/// Guards against a sender that loses its item when the ring is full, or that waits forever after
/// the receiver was dropped.
#[test]
fn dropping_the_receiver_ends_a_waiting_send() {
    let (mut tx, rx) = channel(1);
    tx.try_send(1).unwrap();
    assert_eq!(tx.try_send(2), Err(SendError::Full(2)));
    let waiting = thread::spawn(move || block_on(tx.send(2)));
    thread::sleep(Duration::from_millis(20));
    drop(rx);
    assert_eq!(waiting.join().unwrap(), Err(Closed));
}

/// Guards against losing the pending item when `poll_send` finds the ring full.
#[test]
fn poll_send_keeps_the_item_while_the_ring_is_full() {
    let (mut tx, mut rx) = channel(1);
    let mut cx = Context::from_waker(Waker::noop());
    let mut pending = Some(1);
    assert_eq!(tx.poll_send(&mut cx, &mut pending), Poll::Ready(Ok(())));
    pending = Some(2);
    assert_eq!(tx.poll_send(&mut cx, &mut pending), Poll::Pending);
    assert_eq!(pending, Some(2));
    assert_eq!(rx.try_recv(), Some(1));
    assert_eq!(tx.poll_send(&mut cx, &mut pending), Poll::Ready(Ok(())));
    assert_eq!((pending, rx.try_recv()), (None, Some(2)));
}
