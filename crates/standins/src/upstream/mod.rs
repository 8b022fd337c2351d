//! Stand-in for upstreams: one process serves many replicas, each on its own address.

pub mod effects;
pub mod records;
pub mod replica;
pub mod run;
pub mod search;
pub mod service;
pub mod service_time;
pub mod slots;
pub mod spec;

pub use effects::{Effect, Effects};
pub use replica::Replica;
pub use service::UpstreamService;
pub use spec::{HoldingSpec, ReplicaSpec, ServiceTime};

#[cfg(test)]
mod tests;
