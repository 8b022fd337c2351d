//! Pure decisions of the query path: routing, hedging, retries, admission and coverage.
//!
//! [`interface`] has the events and actions of the engine. The engine performs no I/O and reads no
//! clock, so the daemon, a property test and a test bench drive the same code.

pub mod interface;
