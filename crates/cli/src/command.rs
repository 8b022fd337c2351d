use std::ffi::OsString;

use crate::{context::Context, error::CliError, report::Report};

/// A command: what operators type, and what it does.
pub(crate) trait Command: Sized + 'static {
    /// Words that operators type after `rosemarybank`.
    const NAME: &'static [&'static str];
    /// Description in one line.
    const ABOUT: &'static str;
    /// Examples, which the tests run.
    const EXAMPLES: &'static [Example];

    /// Reads the arguments after the name.
    fn parse(args: Vec<OsString>) -> xflags::Result<Self>;

    /// Does what the arguments say.
    fn run(self, cx: &Context) -> Result<Report, CliError>;
}

/// An example of a command line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Example {
    /// What it does.
    pub(crate) about: &'static str,
    /// Arguments after the command's name.
    pub(crate) args: &'static [&'static str],
    /// What it needs to run.
    pub(crate) requires: Requirement,
}

/// What an example needs to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requirement {
    /// Only the files of the checkout and keys made by `bundle keygen`.
    LocalFiles,
    /// A running platform or instance.
    Servers,
}

type RunFn = Box<dyn FnOnce(&Context) -> Result<Report, CliError>>;

/// A row of the table of commands.
pub(crate) struct CommandSpec {
    pub(crate) name: &'static [&'static str],
    pub(crate) about: &'static str,
    pub(crate) examples: &'static [Example],
    pub(crate) parse: fn(Vec<OsString>) -> xflags::Result<RunFn>,
}

impl CommandSpec {
    pub(crate) const fn of<C: Command>() -> CommandSpec {
        CommandSpec {
            name: C::NAME,
            about: C::ABOUT,
            examples: C::EXAMPLES,
            parse: |args| {
                let command = C::parse(args)?;
                Ok(Box::new(move |cx| command.run(cx)))
            },
        }
    }

    /// The name as operators type it.
    pub(crate) fn full_name(&self) -> String {
        self.name.join(" ")
    }
}
