//! Flags of the command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Starts stand-ins and entry instances on loopback, loads them and reports the measurements.
    ///
    /// The release binaries must have been built:
    /// `cargo build --release --locked --workspace --bins`.
    cmd experiments {
        /// `all`, or one of `straggler`, `overload`, `lost-data-centre`, `added-latency`, `control`
        /// and `drain`.
        required scenario: String
        /// Rounds, each with both policies; 5 if absent.
        optional --rounds rounds: u32
        /// Seconds of load in each measurement; the scenario's own length if absent.
        optional --seconds seconds: f64
        /// Seed of arrivals and service times; 1 if absent.
        optional --seed seed: u64
        /// Directory of the binaries; that of this binary if absent.
        optional --bin-dir dir: PathBuf
        /// Prints the reports as JSON.
        optional --json
        /// Prints the reports as the text of docs/measurements.md.
        optional --markdown
        /// Keeps the logs and settings of the processes.
        optional --keep-files
    }
}
