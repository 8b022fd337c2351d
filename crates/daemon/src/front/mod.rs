//! The callers' port: HTTP requests in, searches and actions to the other threads, answers out.

mod action;
mod answer;
mod auth;
mod body;
mod fail;
mod fingerprint;
mod pending;
mod router;
mod run;
mod search;
mod service;
mod shared;

pub use fail::Fail;
pub use run::{FrontRings, FrontSetup, run};
