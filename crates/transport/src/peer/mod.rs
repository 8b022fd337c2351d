//! Messages between instances. Each message and its reply use one HTTP/2 stream; bodies are encoded
//! with `bincode`.

pub mod client;
pub mod codec;
pub mod error;
pub mod server;

mod body;

pub use client::{PeerClient, PeerClientSettings};
pub use error::PeerError;
pub use server::{PeerHandler, PeerServerSettings, serve};
