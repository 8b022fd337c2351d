//! The telemetry thread: metrics, spans, status and the admin port.

mod admin;
mod document;
mod metrics;
mod names;
mod record;
mod run;
mod sink;
mod spans;

pub use admin::AdminToControl;
pub use document::{PeerStatus, StatusDocument};
pub use names::{Counter, Gauge};
pub use record::{Hop, Record, Recorder, RequestRecord, Span};
pub use run::{TelemetrySetup, run};

#[cfg(test)]
mod tests;
