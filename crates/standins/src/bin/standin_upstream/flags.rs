//! Flags of the command line.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Serves upstream replicas over generated records.
    ///
    /// Prints `listening <replica> <address>` for each replica, `listening control <address>`, and
    /// `ready` after the last.
    cmd standin-upstream {
        /// YAML or JSON list of replicas.
        required --replicas file: PathBuf
        /// Address for `POST /faults`, `GET /effects` and `GET /replicas`; port 0 picks a free one.
        optional --control addr: SocketAddr
        /// File that gets the platform's list entries of the replicas, as JSON.
        optional --instances-out file: PathBuf
        /// Seed of the service times; 1 if absent.
        optional --seed seed: u64
    }
}
