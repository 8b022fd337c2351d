//! Commands about traces.

pub(crate) mod show;
