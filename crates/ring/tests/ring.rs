//! Behaviour of rings across threads.

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

/// Guards against a lost wake-up, a lost item and a reordering when both ends wait in turn.
#[test]
fn every_item_crosses_a_small_ring_in_order() {
    const ITEMS: u32 = 200_000;
    let (mut tx, mut rx) = channel(3);
    let sender = thread::spawn(move || {
        block_on(async {
            for n in 0..ITEMS {
                tx.send(n).await.unwrap();
            }
        });
    });
    let got = block_on(async {
        let mut got = Vec::new();
        while let Some(n) = rx.recv().await {
            got.push(n);
        }
        got
    });
    sender.join().unwrap();
    assert!(got.iter().copied().eq(0..ITEMS), "{} items", got.len());
}

/// Guards against items lost because the sender was dropped right after sending them.
#[test]
fn items_sent_before_the_close_are_delivered() {
    let (mut tx, mut rx) = channel(4);
    tx.try_send(1).unwrap();
    tx.try_send(2).unwrap();
    drop(tx);
    assert_eq!(block_on(rx.recv()), Some(1));
    assert_eq!(block_on(rx.recv()), Some(2));
    assert_eq!(block_on(rx.recv()), None);
}

/// Guards against a sender that waits for ever, or that loses its item, when the receiver is gone.
#[test]
fn sender_learns_that_the_receiver_is_gone() {
    let (mut tx, rx) = channel(1);
    tx.try_send(1).unwrap();
    assert_eq!(tx.try_send(2), Err(SendError::Full(2)));
    let waiting = thread::spawn(move || block_on(tx.send(2)));
    thread::sleep(Duration::from_millis(20));
    drop(rx);
    assert_eq!(waiting.join().unwrap(), Err(Closed));
}

/// Guards against a held item that vanishes when `poll_send` finds the ring full.
#[test]
fn a_full_ring_leaves_the_item_with_its_holder() {
    let (mut tx, mut rx) = channel(1);
    let mut cx = Context::from_waker(Waker::noop());
    let mut held = Some(1);
    assert_eq!(tx.poll_send(&mut cx, &mut held), Poll::Ready(Ok(())));
    held = Some(2);
    assert_eq!(tx.poll_send(&mut cx, &mut held), Poll::Pending);
    assert_eq!(held, Some(2));
    assert_eq!(rx.try_recv(), Some(1));
    assert_eq!(tx.poll_send(&mut cx, &mut held), Poll::Ready(Ok(())));
    assert_eq!((held, rx.try_recv()), (None, Some(2)));
}
