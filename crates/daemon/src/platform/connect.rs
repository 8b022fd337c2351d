//! Classification of connect errors.

use std::io;

use rosemarybank_query::forward::Failure;

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
