//! The commands, in the order of the help.

mod action;
mod bundle;
mod explain;
mod instances;
mod load;
mod quarantine;
pub(crate) mod search;
mod trace;

use serde::{
    Deserialize,
    de::{IntoDeserializer, value::Error},
};

use crate::command::Entry;

/// All commands.
pub(crate) const COMMANDS: &[Entry] = &[
    Entry::of::<bundle::check::BundleCheck>(),
    Entry::of::<bundle::diff::BundleDiff>(),
    Entry::of::<bundle::keygen::BundleKeygen>(),
    Entry::of::<bundle::sign::BundleSign>(),
    Entry::of::<bundle::roll_out::BundleRollOut>(),
    Entry::of::<bundle::status::BundleStatus>(),
    Entry::of::<bundle::log::BundleLog>(),
    Entry::of::<search::Search>(),
    Entry::of::<action::submit::ActionSubmit>(),
    Entry::of::<action::show::ActionShow>(),
    Entry::of::<action::settle::ActionSettle>(),
    Entry::of::<quarantine::list::QuarantineList>(),
    Entry::of::<quarantine::release::QuarantineRelease>(),
    Entry::of::<instances::Instances>(),
    Entry::of::<trace::show::TraceShow>(),
    Entry::of::<explain::Explain>(),
    Entry::of::<load::LoadRun>(),
];

/// Reads one of the words of an enum of the protocol.
fn parse_word<T: for<'de> Deserialize<'de>>(flag: &str, word: &str) -> xflags::Result<T> {
    T::deserialize(word.into_deserializer())
        .map_err(|e: Error| xflags::Error::new(format!("{flag}: {e}")))
}
