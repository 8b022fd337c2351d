//! Decisions for requests that are forwarded as they are: to one replica, or to one replica of
//! each shard with the parts merged.
//!
//! A service is a set of interchangeable replicas; a shard of a gathered route is a service as
//! well, and a plain route is a gather of one. [`Forwarder`] owns the routes, the replicas and the
//! requests in flight. It performs no I/O and reads no clock.

pub mod directory;
pub mod interface;
pub mod membership;
pub mod routes;

mod account;
mod answers;
mod attempts;
mod choice;
mod forwarder;
mod gather;
mod replicas;
mod request;
mod returns;
mod services;
mod splits;
mod suspects;
mod waiting;

pub use account::{Account, RetryBudget};
pub use directory::Directory;
pub use forwarder::{Forwarder, Settings};
pub use gather::TopRecords;
pub use interface::{
    Action, Answer, AttemptKey, AttemptKind, Event, Failure, ReplicaKey, Reply, RequestKey,
    Submission,
};
pub use membership::Membership;
pub use returns::Returns;
pub use routes::{ClientLimits, ReplicaInfo, ReplicaState, Route, RouteTable, ServiceInfo, Target};
pub use waiting::{Waiter, Waiting};
