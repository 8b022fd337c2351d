//! Command-line tool for operators of rosemarybank.
//!
//! Each command has a file under `commands` that declares its name, description, arguments and
//! examples, and implements it. The binary only passes its arguments to [`main`].

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
