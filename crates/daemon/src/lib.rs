//! The entry instance daemon: its threads and sockets, and the state machines that they drive.

pub mod clock;
pub mod control;
pub mod daemon;
pub mod engine;
pub mod front;
pub mod http_server;
pub mod in_flight;
pub mod lifecycle;
pub mod listener;
pub mod logging;
pub mod message;
pub mod shared_sender;
pub mod settings;
pub mod stop;
pub mod telemetry;
pub mod platform;
pub mod trace;
pub mod upstreams;
