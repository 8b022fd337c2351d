use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use tokio::sync::mpsc;

use super::{
    arrivals::Arrivals,
    stats::{CLIENT_LIMIT_ERROR, Outcome, RunStats},
};

/// A destination of the generated requests, such as entry instances or upstreams.
pub(crate) trait Target: Clone + Send + 'static {
    /// Sends the request with this number and returns its outcome. Implementations apply a timeout.
    fn send(&self, number: u64) -> impl Future<Output = Outcome> + Send;
}

/// Sends a request at each arrival without waiting for earlier ones, and returns when all have
/// finished.
///
/// A request that is due while `in_flight` others are pending is not sent and counts as the error
/// `client_limit`, which bounds the memory of the load generator.
pub(crate) async fn run(target: impl Target, arrivals: Arrivals, in_flight: usize) -> RunStats {
    let (due_tx, mut due_rx) = mpsc::unbounded_channel();
    // A dedicated thread times the arrivals, because the timers of the async runtime round up to a
    // millisecond, which would be added to every latency.
    let pacer = thread::spawn(move || announce_arrivals(arrivals, |due| due_tx.send(due).is_ok()));
    let (done_tx, mut done_rx) = mpsc::unbounded_channel();
    let pending = Arc::new(AtomicUsize::new(0));
    let mut number = 0;
    let mut stats = RunStats::new();
    loop {
        tokio::select! {
            due = due_rx.recv() => {
                let Some(due) = due else { break };
                if pending.fetch_add(1, Ordering::Relaxed) >= in_flight {
                    pending.fetch_sub(1, Ordering::Relaxed);
                    stats.add(Duration::ZERO, Outcome::Failed(CLIENT_LIMIT_ERROR.to_owned()));
                } else {
                    let (target, pending, done_tx) =
                        (target.clone(), Arc::clone(&pending), done_tx.clone());
                    tokio::spawn(async move {
                        let outcome = target.send(number).await;
                        pending.fetch_sub(1, Ordering::Relaxed);
                        // Sending can't fail: the receiver outlives every sender.
                        let _ = done_tx.send((Instant::now() - due, outcome));
                    });
                }
                number += 1;
            }
            Some((latency, outcome)) = done_rx.recv() => stats.add(latency, outcome),
        }
    }
    drop(done_tx);
    while let Some((latency, outcome)) = done_rx.recv().await {
        stats.add(latency, outcome);
    }
    pacer.join().expect("the arrival thread does not panic");
    stats
}

fn announce_arrivals(arrivals: Arrivals, mut announce: impl FnMut(Instant) -> bool) {
    let start = Instant::now();
    for offset in arrivals {
        let due = start + offset;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if !announce(due) {
            return;
        }
    }
}
