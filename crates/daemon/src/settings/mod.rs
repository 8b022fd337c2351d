//! Settings of an instance, read from a YAML file.

mod model;
mod parse;
mod section_reader;

pub use model::{
    AdminSettings, CallersSettings, LogFormat, LogLevel, LogSettings, MetricsSettings,
    PeersSettings, PlatformSettings, QueryPolicy, Settings, StopSettings, UpstreamsSettings,
};
pub use parse::{load, parse};
pub use section_reader::{SettingError, SettingsErrors};

#[cfg(test)]
mod tests;
