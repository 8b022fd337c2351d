//! Decisions about new connections to replicas.

use std::{
    io::{Error, ErrorKind},
    time::Duration,
};

use rosemarybank_daemon::platform::connect;
use rosemarybank_query::forward::{Failure, Resend};

/// Guards against treating a replica at its connection limit as unreachable. Such a replica was
/// avoided for 200 ms, and after a power loss of all instances some parts of searches had no usable
/// replica.
#[test]
fn a_reset_during_connect_means_not_accepted() {
    assert_eq!(connect::classify_error(&ErrorKind::ConnectionReset.into()), Failure::NotAccepted);
    for kind in [ErrorKind::ConnectionRefused, ErrorKind::HostUnreachable, ErrorKind::TimedOut] {
        assert_eq!(connect::classify_error(&Error::from(kind)), Failure::Unreachable);
    }
}

/// Guards against answers that an outcome is unknown although the request reached no replica. A replica
/// far away at its connection limit resets a connection only a round trip after it is open here, and the
/// request had been sent after 2 ms. The test replays the order of these events.
#[test]
fn the_reset_of_a_distant_replica_arrives_before_the_request_is_sent() {
    for one_way in [0, 1, 15, 45].map(Duration::from_millis) {
        let opened_at = one_way * 2;
        let accepted_at = opened_at + one_way;
        // The way back may take longer than the ones before.
        let reset_arrives_at = accepted_at + one_way * 3 / 2;
        for resend in [Resend::LastAttempt, Resend::NotIdempotent] {
            let sent_at = opened_at + connect::first_request_delay(resend, opened_at);
            assert!(sent_at > reset_arrives_at, "{resend:?}, {one_way:?}");
        }
    }
    let delay = |time| connect::first_request_delay(Resend::NotIdempotent, time);
    assert!(delay(Duration::from_secs(1)) <= Duration::from_millis(200));
}
