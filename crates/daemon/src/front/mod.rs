//! The callers' port: an HTTP server that passes searches and actions to the other threads and
//! returns their results.

mod action;
mod auth;
mod body;
mod body_memory;
mod fingerprint;
mod pending;
mod request_error;
mod response;
mod router;
mod run;
mod search;
mod service;
mod shared;

pub use request_error::RequestError;
pub use run::{FrontRings, FrontSetup, run};
