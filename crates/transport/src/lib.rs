//! Network clients and servers: requests to upstream replicas, and messages between instances.

pub mod peer;
pub mod traffic;
pub mod upstream;
