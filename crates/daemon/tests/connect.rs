//! Classification of connect errors.

use std::io::{Error, ErrorKind};

use rosemarybank_daemon::platform::connect;
use rosemarybank_query::forward::Failure;

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
