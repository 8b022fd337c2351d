//! Command-line flags.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Serves the platform's object API from memory.
    ///
    /// Prints `listening platform <address>`, `listening control <address>`, and `ready`.
    cmd standin-platform {
        /// Address of the object API; port 0 picks a free one.
        required --listen addr: SocketAddr
        /// Address for `POST /faults`, `POST /instances`, `GET /counts` and `GET /list`, regardless
        /// of faults; port 0 picks a free one.
        optional --control addr: SocketAddr
        /// Directory of JSON files to load as objects.
        optional --objects dir: PathBuf
        /// YAML or JSON list of entries for `instances/`; can be repeated.
        repeated --instances file: PathBuf
    }
}
