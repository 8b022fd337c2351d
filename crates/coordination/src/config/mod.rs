//! Distribution and activation of the configuration bundle.
//!
//! The driver creates one [`Machine`] from [`Settings`], verifies the signature of every bundle
//! before passing it in, and chooses between a delta and the whole bundle when it sends one.

mod roles;
mod delta;
mod interface;
mod lcs;
mod machine;

pub use delta::{DeltaError, apply_delta, make_delta};
pub use interface::{Action, Event, ReadMode, Role, Settings, StartRule};
pub use machine::Machine;
pub use roles::{WATCHERS_PER_DATA_CENTRE, status_writer, watchers};
