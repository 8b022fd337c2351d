//! What a failed connect says of a replica.

use std::io;

use rosemarybank_query::forward::Failure;

/// How an attempt ended whose connection could not be opened. A reset comes from a replica that
/// accepted the connection and has all that it accepts: it is there, and ran nothing. The reset can
/// arrive before this instance has seen the connection open.
#[must_use]
pub fn failure(err: &io::Error) -> Failure {
    match err.kind() {
        io::ErrorKind::ConnectionReset => Failure::NotAccepted,
        _ => Failure::Unreachable,
    }
}
