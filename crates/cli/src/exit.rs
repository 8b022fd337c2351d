use std::process::ExitCode;

/// Outcome of a command, mapped to the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    Success,
    Findings,
    Usage,
    Conflict,
    NotYetAccepted,
    NotRun,
    OutcomeUnknown,
    ServerError,
    LocalFile,
}

impl ExitStatus {
    pub(crate) const ALL: [ExitStatus; 9] = [
        ExitStatus::Success,
        ExitStatus::Findings,
        ExitStatus::Usage,
        ExitStatus::Conflict,
        ExitStatus::NotYetAccepted,
        ExitStatus::NotRun,
        ExitStatus::OutcomeUnknown,
        ExitStatus::ServerError,
        ExitStatus::LocalFile,
    ];

    /// The exit code and its description in the help.
    pub(crate) const fn code_and_meaning(self) -> (u8, &'static str) {
        match self {
            ExitStatus::Success => (0, "done"),
            ExitStatus::Findings => {
                (1, "done, and found faults, differences, missing coverage or instances behind")
            }
            ExitStatus::Usage => (2, "the command line or a setting is wrong; nothing was done"),
            ExitStatus::Conflict => {
                (3, "another change came first, or the key belongs to another action")
            }
            ExitStatus::NotYetAccepted => {
                (4, "rolled out, but a majority of the instances has not yet reported the version")
            }
            ExitStatus::NotRun => (5, "refused; nothing of the request was run"),
            ExitStatus::OutcomeUnknown => (6, "the outcome is unknown; look before you repeat"),
            ExitStatus::ServerError => {
                (7, "the platform or an instance did not answer as documented")
            }
            ExitStatus::LocalFile => (8, "a local file or key can't be used"),
        }
    }

    pub(crate) const fn code(self) -> u8 {
        self.code_and_meaning().0
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status.code())
    }
}
