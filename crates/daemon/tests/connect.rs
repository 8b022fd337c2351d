//! What a failed connect says of a replica.

use std::io::{Error, ErrorKind};

use rosemarybank_daemon::platform::connect;
use rosemarybank_query::forward::Failure;

/// Guards against replicas that are left alone for 200 ms, and parts that run out of replicas,
/// because a replica with all the connections that it accepts looked unreachable (ratro-links
/// inc-cd0c, after a power loss of all instances).
#[test]
fn a_reset_connect_is_a_replica_without_room() {
    assert_eq!(connect::failure(&ErrorKind::ConnectionReset.into()), Failure::NotAccepted);
    for kind in [ErrorKind::ConnectionRefused, ErrorKind::HostUnreachable, ErrorKind::TimedOut] {
        assert_eq!(connect::failure(&Error::from(kind)), Failure::Unreachable);
    }
}
