//! Decisions for requests that are forwarded unchanged, either to one replica or to one replica of
//! each shard with the partial results merged.
//!
//! A service is a set of interchangeable replicas. Each shard of a scatter-gather route is a
//! service too, and a plain route is handled as a gather with a single part. [`Forwarder`] owns the
//! routes, the replicas and the requests in flight. It performs no I/O and reads no clock.

pub mod directory;
pub mod interface;
pub mod membership;
pub mod routes;

mod answers;
mod attempts;
mod crash_detector;
mod forwarder;
mod gather;
mod replicas;
mod request;
mod retry_after;
mod retry_budget;
mod selection;
mod services;
mod wait_queue;
mod weighted_round_robin;
mod withdrawals;

pub use directory::Directory;
pub use forwarder::{Forwarder, Settings};
pub use gather::TopRecords;
pub use interface::{
    Action, Answer, AttemptInfo, AttemptKey, AttemptKind, CrashSign, Event, Failure, ReplicaKey,
    Reply, RequestKey, Resend, Submission, Withdrawal,
};
pub use membership::Membership;
pub use retry_after::RetryAfterSchedule;
pub use retry_budget::{BudgetTracker, RetryBudget};
pub use routes::{ClientLimits, ReplicaInfo, ReplicaState, Route, RouteTable, ServiceInfo, Target};
pub use wait_queue::{WaitQueue, Waiter};
