//! The instance on the company platform: one thread, one event loop.
//!
//! Clients, replicas and the store all speak HTTP/1.1 over TCP. One thread serves them, because an
//! instance has a fraction of one core: passing a request between threads costs more wake-ups than
//! the work itself. The decisions are in [`rosemarybank_query::forward`] and [`lanes`].

pub mod connect;
pub mod frames;
pub mod journal;
pub mod lanes;

mod answers;
mod client;
mod feed;
mod metrics;
mod node;
mod replies;
mod run;
mod socket;
mod stop;
mod store;
mod sweep;
mod upstream;

pub use run::{check_settings, run};
