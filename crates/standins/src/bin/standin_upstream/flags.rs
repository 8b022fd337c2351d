//! Command-line flags.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Serves upstream replicas over generated records.
    ///
    /// Prints `listening <replica> <address>` for each replica, `listening control <address>`, and
    /// `ready` after the last.
    cmd standin-upstream {
        /// YAML or JSON list of replicas.
        optional --replicas file: PathBuf
        /// YAML or JSON topology, instead of a list; config/demo/topology.yaml is an example.
        optional --topology file: PathBuf
        /// Serves only the replicas of this data centre.
        optional --data-centre name: String
        /// Address for `POST /faults`, `GET /effects`, `GET /replicas` and `GET /counters`;
        /// port 0 picks a free one.
        optional --control addr: SocketAddr
        /// File to write the instance entries of the replicas to, as JSON.
        optional --instances-out file: PathBuf
        /// Seed of the service times; by default that of the topology, or 1 with a list.
        optional --seed seed: u64
    }
}
