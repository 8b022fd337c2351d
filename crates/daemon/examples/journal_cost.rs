//! Processor time of log lines: those that are written, and those beyond the limit of their kind.
//!
//! ```sh
//! cargo run --release -p rosemarybank-daemon --example journal_cost > /dev/null
//! ```

use std::time::{Duration, Instant};

use rosemarybank_daemon::platform::journal::{Journal, Kind};

/// Seconds of log time.
const SECONDS: u32 = 20_000;

/// Failures in each second, of which the journal writes 60.
const OFFERED: u32 = 660;

fn main() -> std::io::Result<()> {
    let mut journal = Journal::start()?;
    let (mut written, mut left_out) = (Duration::ZERO, Duration::ZERO);
    for second in 0..SECONDS {
        let now = Duration::from_secs(second.into());
        let begun = Instant::now();
        lines(&mut journal, now, 60);
        journal.tick(now);
        written += begun.elapsed();
        let begun = Instant::now();
        lines(&mut journal, now, OFFERED - 60);
        left_out += begun.elapsed();
    }
    journal.close();
    let each = |time: Duration, count: u32| time.as_nanos() / u128::from(count);
    eprintln!("written:  {} ns a line", each(written, SECONDS * 60));
    eprintln!("left out: {} ns a line", each(left_out, SECONDS * (OFFERED - 60)));
    Ok(())
}

fn lines(journal: &mut Journal, now: Duration, count: u32) {
    for number in 0..count {
        let fields = format_args!(
            r#""request":"{number:016x}","host":"orders.example","path":"/a/b/{number}","took_ms":31,"sends":12,"config":14,"status":504,"reason":"incomplete""#
        );
        journal.line(now, Kind::Failure, "refused", fields);
    }
}
