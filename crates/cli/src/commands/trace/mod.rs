//! Commands for traces.

pub(crate) mod show;
