//! Waits for conditions.

use std::time::Duration;

use tokio::time::Instant;

/// Longest wait for a condition; the machine may be busy with other tests.
const BOUND: Duration = Duration::from_secs(20);

/// Time between two looks at a condition.
const INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `look` returns a value.
///
/// # Panics
///
/// Panics with `what` when there is no value within 20 s.
pub async fn wait_until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + BOUND;
    loop {
        if let Some(it) = look().await {
            return it;
        }
        assert!(Instant::now() < end, "not within {BOUND:?}: {what}");
        tokio::time::sleep(INTERVAL).await;
    }
}
