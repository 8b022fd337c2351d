//! Load generator: open-loop arrivals, latencies from the intended send time, and a direct client
//! as the baseline of added latency.

pub(crate) mod arrivals;
pub(crate) mod counters;
pub(crate) mod direct_client;
pub(crate) mod entry_target;
pub(crate) mod run;
pub(crate) mod tables;
pub(crate) mod stats;

#[cfg(test)]
mod tests;
