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

/// Something that answers requests, such as entry instances or upstreams.
pub(crate) trait Target: Clone + Send + 'static {
    /// Sends the request with this number and reads its answer. It ends by itself.
    fn send(&self, number: u64) -> impl Future<Output = Outcome> + Send;
}

/// Sends a request at each arrival, whether or not the earlier ones are answered, and waits until
/// all have ended.
///
/// A request that is due while `in_flight` others are unanswered is not sent and counts as the
/// error `client_limit`, which bounds the memory of the generator.
pub(crate) async fn run(target: impl Target, arrivals: Arrivals, in_flight: usize) -> RunStats {
    let (due_tx, mut due_rx) = mpsc::unbounded_channel();
    // A thread of its own sets the pace, because the runtime's timers round up to a millisecond,
    // which every latency would include.
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
                        // The receiver lives until every sender is dropped.
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
    pacer.join().expect("the pacer does not panic");
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
