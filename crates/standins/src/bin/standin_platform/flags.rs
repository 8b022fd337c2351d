//! Flags of the command line.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Serves the platform's object API from memory.
    ///
    /// Prints `listening platform <address>` when it is ready.
    cmd standin-platform {
        /// Address of the object API; port 0 picks a free one.
        required --listen addr: SocketAddr
        /// Directory of JSON files that are loaded as objects.
        optional --objects dir: PathBuf
        /// YAML or JSON list of entries for `instances/`.
        optional --instances file: PathBuf
    }
}
