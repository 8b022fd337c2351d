//! A randomized soak: real processes of the tier between stand-ins, with faults from outside.
//!
//! A seed gives the plan of faults. While it runs, clients and replicas record what they see; the
//! checks compare these records with what the tier promises.

pub mod checks;
pub mod clients;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod site;
