//! Flags of the command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves upstream replicas over generated records.
    ///
    /// Prints `listening <replica> <address>` for each replica and `ready` after the last.
    cmd standin-upstream {
        /// YAML or JSON list of replicas.
        required --replicas file: PathBuf
        /// File that gets the platform's list entries of the replicas, as JSON.
        optional --instances-out file: PathBuf
        /// Seed of the service times; 1 if absent.
        optional --seed seed: u64
    }
}
