//! Connections to upstreams and between instances.

pub mod peer;
pub mod traffic;
pub mod upstream;
