//! The commands.

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

use crate::command::CommandSpec;

/// All commands in the order of the help.
pub(crate) const COMMANDS: &[CommandSpec] = &[
    CommandSpec::of::<bundle::check::BundleCheck>(),
    CommandSpec::of::<bundle::diff::BundleDiff>(),
    CommandSpec::of::<bundle::keygen::BundleKeygen>(),
    CommandSpec::of::<bundle::sign::BundleSign>(),
    CommandSpec::of::<bundle::roll_out::BundleRollOut>(),
    CommandSpec::of::<bundle::status::BundleStatus>(),
    CommandSpec::of::<bundle::log::BundleLog>(),
    CommandSpec::of::<search::Search>(),
    CommandSpec::of::<action::submit::ActionSubmit>(),
    CommandSpec::of::<action::show::ActionShow>(),
    CommandSpec::of::<action::settle::ActionSettle>(),
    CommandSpec::of::<quarantine::list::QuarantineList>(),
    CommandSpec::of::<quarantine::release::QuarantineRelease>(),
    CommandSpec::of::<instances::Instances>(),
    CommandSpec::of::<trace::show::TraceShow>(),
    CommandSpec::of::<explain::Explain>(),
    CommandSpec::of::<load::LoadRun>(),
];

/// Parses the value of a flag as a variant of a protocol enum.
fn parse_enum<T: for<'de> Deserialize<'de>>(flag: &str, word: &str) -> xflags::Result<T> {
    T::deserialize(word.into_deserializer())
        .map_err(|e: Error| xflags::Error::new(format!("{flag}: {e}")))
}
