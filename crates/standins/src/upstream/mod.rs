//! Stand-in for upstreams. One process serves many replicas, each on its own address.

pub mod control;
pub mod effects;
pub mod faults;
pub mod holdings;
pub mod network;
pub mod records;
pub mod replica;
pub mod search;
pub mod service;
pub mod service_time;
pub mod slots;
pub mod spec;
pub mod start;
pub mod topology;

pub use control::ControlService;
pub use effects::{Effect, EffectLog};
pub use faults::{Command, CrashPoint, CrashRule, FaultRequest, ReplicaFaults, StatusOverride};
pub use network::Network;
pub use replica::{Replica, ReplicaCounters};
pub use service::UpstreamService;
pub use spec::{HoldingSpec, ReplicaSpec, ServiceTime};
pub use topology::Topology;

#[cfg(test)]
mod tests;
