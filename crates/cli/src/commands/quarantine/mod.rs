//! Commands for quarantined requests.

pub(crate) mod list;
pub(crate) mod release;
