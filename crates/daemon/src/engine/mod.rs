//! The engine thread: feeds the decisions of the query engine from the rings and carries its
//! actions out through them.

mod driver;
mod report;
mod run;
mod texts;

pub use driver::Driver;
pub use run::{EngineRings, EngineSetup, run};
