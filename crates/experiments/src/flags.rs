//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Starts stand-ins and entry instances on loopback, sends load and reports the measurements.
    ///
    /// The release binaries must have been built:
    /// `cargo build --release --locked --workspace --bins`.
    cmd experiments {
        /// Scenario to run: `all`, or one of `straggler`, `overload`, `lost-data-centre`,
        /// `added-latency`, `control` and `drain`.
        required scenario: String
        /// Number of rounds, each with both policies (default: 5).
        optional --rounds rounds: u32
        /// Seconds of load in each measurement (default: depends on the scenario).
        optional --seconds seconds: f64
        /// Random seed of arrivals and service times (default: 1).
        optional --seed seed: u64
        /// Directory of the binaries (default: the directory of this binary).
        optional --bin-dir dir: PathBuf
        /// Prints the reports as JSON.
        optional --json
        /// Prints the reports as Markdown, the contents of docs/measurements.md.
        optional --markdown
        /// Keeps the log and settings files of the processes.
        optional --keep-files
    }
}
