//! Log output of the stand-ins.

use slog::{Drain, Logger, o};

/// Builds a logger that writes plain lines to standard error.
pub fn stderr_logger() -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    Logger::root(slog_term::FullFormat::new(plain).build().fuse(), o!())
}
