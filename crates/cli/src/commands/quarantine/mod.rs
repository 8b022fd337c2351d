//! Commands about requests that crash upstreams.

pub(crate) mod list;
pub(crate) mod release;
