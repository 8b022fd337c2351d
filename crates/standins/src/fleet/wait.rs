//! Polling for conditions.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum wait for a condition, long enough for a machine that runs other tests in parallel.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Delay between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `check` until it returns a value. `what` states the condition, as in `the process exits`.
///
/// # Panics
///
/// Panics when `check` returns no value within 20 s; the message contains `what`.
pub async fn wait_until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(Instant::now() < deadline, "condition not met within {TIMEOUT:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
