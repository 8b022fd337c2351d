//! Settings of one instance, read from a YAML file.

mod fields;
mod model;
mod read;

pub use fields::{Fault, Faults};
pub use model::{
    AdminSettings, CallersSettings, LogFormat, LogLevel, LogSettings, MetricsSettings,
    PeersSettings, PlatformSettings, QueryPolicy, Settings, StopSettings, UpstreamsSettings,
};
pub use read::{load, parse};

#[cfg(test)]
mod tests;
