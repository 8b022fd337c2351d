//! Decisions about new connections to replicas.
//!
//! Load pattern: many instances start at once and open more connections than the replicas accept. A
//! replica resets connections beyond its limit right after accepting them. If the request has been
//! sent by then, it is unknown whether it ran.

use std::{io, time::Duration};

use rosemarybank_query::forward::{Failure, Resend};

/// Time between the acceptance of a connection and its reset by a replica at its limit.
const RESET_TIME: Duration = Duration::from_millis(2);

/// [`RESET_TIME`] of a busy replica.
const BUSY_RESET_TIME: Duration = Duration::from_millis(20);

/// Maximum round-trip time. A connect that takes longer was delayed by something else, such as a busy
/// replica or instance.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(100);

/// Factor by which a round trip may take longer than the one of the connect.
const JITTER_FACTOR: f32 = 1.5;

/// Returns the delay between the opening of a connection, which took `connect_time`, and the first
/// request on it. A reset arrives a round trip later than the connection is open here, since the replica
/// accepts it only then. A request that can be sent again does not wait for that.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_daemon::platform::connect::first_request_delay;
/// use rosemarybank_query::forward::Resend;
///
/// let round_trip = Duration::from_millis(30);
/// assert_eq!(first_request_delay(Resend::Allowed, round_trip), Duration::from_millis(2));
/// assert!(first_request_delay(Resend::LastAttempt, round_trip) > round_trip);
/// ```
#[must_use]
pub fn first_request_delay(resend: Resend, connect_time: Duration) -> Duration {
    let round_trip = connect_time.min(MAX_ROUND_TRIP).mul_f32(JITTER_FACTOR);
    match resend {
        Resend::Allowed => RESET_TIME,
        Resend::LastAttempt => round_trip + RESET_TIME,
        Resend::NotIdempotent => round_trip + BUSY_RESET_TIME,
    }
}

/// Returns whether a connection to a replica may be opened, given the number of sockets that the process may
/// have, of its connections to all replicas and of those to this one. Three eighths of the sockets are for
/// replicas, and the last of these only for the first connection to a replica, so that replicas that hold many
/// do not keep others from being called. Clients have half; the rest is for the store, other instances and probes.
///
/// # Examples
///
/// ```
/// use rosemarybank_daemon::platform::connect::admits_connection;
///
/// assert!(admits_connection(800, 199, 50));
/// assert!(!admits_connection(800, 200, 1));
/// assert!(admits_connection(800, 200, 0));
/// assert!(!admits_connection(800, 300, 0));
/// ```
#[must_use]
pub fn admits_connection(max_sockets: usize, open: usize, open_to_replica: usize) -> bool {
    let limit = match open_to_replica {
        0 => max_sockets / 8 * 3,
        _ => max_sockets / 4,
    };
    open < limit.max(1)
}

/// Returns the failure of an attempt whose connection could not be opened. A replica at its
/// connection limit accepts a connection and resets it, so after a reset it is reachable and did not
/// run the request. The reset can arrive before this instance sees the connection as open.
#[must_use]
pub fn classify_error(err: &io::Error) -> Failure {
    match err.kind() {
        io::ErrorKind::ConnectionReset => Failure::NotAccepted,
        _ => Failure::Unreachable,
    }
}
