//! Load generator: open-loop arrivals, latencies from the intended send time, and a direct client
//! as the baseline of added latency.

pub(crate) mod arrivals;
pub(crate) mod counters;
pub(crate) mod direct;
pub(crate) mod entries;
pub(crate) mod run;
pub(crate) mod table;
pub(crate) mod tally;

#[cfg(test)]
mod tests;
