//! Randomized soak test: runs real instances of the tier between stand-ins and injects faults.
//!
//! A seed determines the schedule of faults. During a run, clients and replicas record all
//! requests; afterwards, the checks compare these records with the guarantees of the tier.

pub mod checks;
pub mod clients;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod site;
