//! Messages between instances: one h2 stream for each message and its answer, bodies in `bincode`.

pub mod client;
pub mod codec;
pub mod error;
pub mod server;

mod body;

pub use client::{PeerClient, PeerClientSettings};
pub use error::PeerError;
pub use server::{PeerHandler, PeerServerSettings, serve};
