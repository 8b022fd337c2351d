//! Measures the time per log line, for lines that are written and for lines beyond the rate limit.
//!
//! ```sh
//! cargo run --release -p rosemarybank-daemon --example journal_cost > /dev/null
//! ```

use std::time::{Duration, Instant};

use rosemarybank_daemon::platform::journal::{Journal, LineKind};

/// Number of seconds of log time, each with its own rate limit.
const SECONDS: u32 = 20_000;

/// Lines per second. The journal writes 60 lines of this kind per second.
const LINES_PER_SECOND: u32 = 660;

fn main() -> std::io::Result<()> {
    let mut journal = Journal::start()?;
    let (mut written, mut suppressed) = (Duration::ZERO, Duration::ZERO);
    for second in 0..SECONDS {
        let now = Duration::from_secs(second.into());
        let start = Instant::now();
        log_lines(&mut journal, now, 60);
        journal.flush_if_due(now);
        written += start.elapsed();
        let start = Instant::now();
        log_lines(&mut journal, now, LINES_PER_SECOND - 60);
        suppressed += start.elapsed();
    }
    journal.close();
    let ns_per_line = |time: Duration, count: u32| time.as_nanos() / u128::from(count);
    eprintln!("written:    {} ns per line", ns_per_line(written, SECONDS * 60));
    eprintln!(
        "suppressed: {} ns per line",
        ns_per_line(suppressed, SECONDS * (LINES_PER_SECOND - 60))
    );
    Ok(())
}

fn log_lines(journal: &mut Journal, now: Duration, count: u32) {
    for number in 0..count {
        let fields = format_args!(
            r#""request":"{number:016x}","host":"orders.example","path":"/a/b/{number}","took_ms":31,"sends":12,"config":14,"status":504,"reason":"incomplete""#
        );
        journal.log(now, LineKind::Failure, "refused", fields);
    }
}
