//! The operators' command of rosemarybank.
//!
//! Each command is one file under `commands`, which declares its name, description, arguments and
//! examples and runs it. The binary only passes its arguments to [`main`].

mod admin;
mod app;
mod command;
mod commands;
mod context;
mod entry;
mod error;
mod exit;
mod http;
mod load;
mod report;
mod rollout;
mod store;

pub use crate::app::{ExampleInvocation, example_invocations, main};
