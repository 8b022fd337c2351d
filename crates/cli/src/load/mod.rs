//! Open-loop load generator. Latency is measured from the intended send time, and a client that
//! queries the upstreams directly gives the baseline for the latency that entry instances add.

pub(crate) mod arrivals;
pub(crate) mod counters;
pub(crate) mod direct_client;
pub(crate) mod entry_target;
pub(crate) mod run;
pub(crate) mod tables;
pub(crate) mod stats;

#[cfg(test)]
mod tests;
