//! Settings of one instance, read from a YAML file.

mod fields;
mod model;
mod read;

pub use fields::{Fault, Faults};
pub use model::{
    Admin, Callers, Log, LogFormat, LogLevel, Metrics, Peers, Platform, QueryPolicy, Settings,
    Stop, Upstreams,
};
pub use read::{load, parse};

#[cfg(test)]
mod tests;
