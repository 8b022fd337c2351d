//! The engine thread: passes messages from the rings to the query engine as events and sends the
//! messages that follow from its actions.

mod driver;
mod report;
mod coverage;
mod run;
mod payloads;

pub use driver::Driver;
pub use run::{EngineRings, EngineSetup, run};
