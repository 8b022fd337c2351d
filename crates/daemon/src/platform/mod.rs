//! The daemon on the company platform: a single-threaded forwarding proxy.
//!
//! Clients, replicas and the store all speak HTTP/1.1 over TCP. One event loop serves them, because
//! an instance has a fraction of one core: handing requests over between threads would cost more in
//! wake-ups than the work itself. This module does the I/O; the decisions are made by
//! [`rosemarybank_query::forward`] and [`poller`], which do no I/O.

pub mod config_text;
pub mod connect;
pub mod feed_codec;
pub mod journal;
pub mod memory_bounds;
pub mod poller;

mod accept;
mod answers;
mod client;
mod client_memory;
mod feed;
mod metrics;
mod event_loop;
mod replies;
mod reply_memory;
mod run;
mod socket;
mod shutdown;
mod store;
mod sweep;
mod upstream;

pub use run::{check_settings, run};
