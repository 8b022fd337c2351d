//! Experiment scenarios, one per module.

pub mod added_latency;
pub mod control;
pub mod drain;
pub mod lost_data_centre;
pub mod overload;
pub mod plan;
pub mod straggler;

pub use plan::{NAMES, Outcome, Plan, measure};
