//! Structured logging to standard error.

use std::io;

use slog::{Drain, FnValue, Level, Logger, PushFnValue, Record, o};
use slog_async::{Async, AsyncGuard};

use crate::settings::{LogFormat, LogLevel, LogSettings, Settings};

/// Creates the logger of an instance. A background thread writes the records; dropping the guard
/// flushes them and stops the thread.
pub fn logger(settings: &Settings) -> (Logger, AsyncGuard) {
    let LogSettings { format, level } = settings.log;
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let (drain, guard) = match format {
        LogFormat::Json => {
            let json = slog_json::Json::new(io::stderr())
                .add_key_value(o!(
                    "msg" => PushFnValue(|it: &Record<'_>, ser| ser.emit(it.msg())),
                    "level" => FnValue(|it: &Record<'_>| it.level().as_short_str()),
                    "ts" => PushFnValue(|_, ser| ser.emit(timestamp())),
                ))
                .build();
            Async::new(json.fuse()).build_with_guard()
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let terminal = slog_term::FullFormat::new(decorator).use_utc_timestamp().build();
            Async::new(terminal.fuse()).build_with_guard()
        }
    };
    let drain = drain.filter_level(level).fuse();
    (Logger::root(drain, o!("instance" => settings.instance.to_string())), guard)
}

/// Timestamp of a log record, in milliseconds since the Unix epoch.
fn timestamp() -> u64 {
    crate::clock::unix_ms()
}
