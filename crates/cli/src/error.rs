use std::{io, net::SocketAddr, path::PathBuf};

use rosemarybank_bundle::{Fault, KeyError, SignError};
use rosemarybank_protocol::{
    error::{ErrorBody, ErrorKind, Execution},
    id::Version,
};
use rosemarybank_store::CallError;
use thiserror::Error;

use crate::{commands::search::coverage_text, exit::ExitStatus};

/// Everything that can keep a command from doing what it was asked.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    #[error("{0}")]
    Usage(String),
    #[error("no value for {flag}")]
    MissingSetting { flag: &'static str, variable: &'static str },
    #[error("{variable} is `{text}`, which is not an address")]
    Address { variable: &'static str, text: String },
    #[error("the runtime could not be started: {source}")]
    Runtime { source: io::Error },
    #[error("{path} can't be read: {source}", path = path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("{path} can't be written: {source}", path = path.display())]
    Write { path: PathBuf, source: io::Error },
    #[error("{path} has {count} faults:\n{lines}", path = path.display(), count = faults.len(), lines = lines(path, faults))]
    Faulty { path: PathBuf, faults: Vec<Fault> },
    #[error("{path}: {source}", path = path.display())]
    KeyFile { path: PathBuf, source: KeyError },
    #[error("{0}")]
    Key(#[from] KeyError),
    #[error("{0}")]
    Sign(#[from] SignError),
    #[error("{addr} can't be reached: {message}")]
    Unreachable { addr: SocketAddr, message: String },
    #[error("{addr} did not answer: {message}")]
    NoReply { addr: SocketAddr, message: String },
    #[error("{addr} answered with status {status}, not as documented: {start}")]
    BadReply { addr: SocketAddr, status: u16, start: String },
    #[error("{addr} refused: {message}", message = refusal(body))]
    Refused { addr: SocketAddr, body: Box<ErrorBody> },
    #[error("{addr} keeps no trace {id}")]
    NoTrace { addr: SocketAddr, id: String },
    #[error("{addr} quarantines no request {service}/{fingerprint}")]
    NotQuarantined { addr: SocketAddr, service: String, fingerprint: String },
    #[error("no snapshot of `{service}` has a live replica for each shard")]
    NoSnapshot { service: String },
    #[error("the bundle in force has no search service `{service}`")]
    NoService { service: String },
    #[error("{0}")]
    Platform(CallError),
    #[error("object {path} has an unknown form: {message}")]
    BadObject { path: String, message: String },
    #[error("no configuration is rolled out")]
    NoConfiguration,
    #[error(
        "your bundle is not rolled out as version {planned}: version {in_force}, signed by `{signer}`, is in force"
    )]
    RollOutConflict { planned: Version, in_force: Version, signer: String },
    #[error("the signed bundle has {len} bytes, more than {max}")]
    BundleTooLarge { len: usize, max: usize },
    #[error(
        "it is unknown whether version {version} is rolled out: the platform's replies are lost"
    )]
    RollOutUnknown { version: Version },
    #[error("{path} is not a signed bundle: {message}", path = path.display())]
    SignedFile { path: PathBuf, message: String },
    #[error("version {version} is not in the history")]
    UnknownVersion { version: Version },
    #[error("there is no claim {path}")]
    NoClaim { path: String },
    #[error("claim {path} changed while it was being settled")]
    ClaimChanged { path: String },
    #[error("claim {path} is held by instance `{owner}`, which may still send the action")]
    ClaimHeld { path: String, owner: String },
    #[error("claim {path} is settled already: {state}")]
    ClaimSettled { path: String, state: String },
    #[error("it is unknown whether claim {path} is settled: {source}")]
    SettleUnknown { path: String, source: CallError },
    #[error("the outcome of the action with key {key} is unknown: {message}")]
    ActionUnknown { key: String, message: String },
}

impl CliError {
    /// What the operator can do about it.
    pub(crate) fn help(&self) -> String {
        match self {
            CliError::Usage(_) => "see `rosemarybank help`".to_owned(),
            CliError::MissingSetting { flag, variable } => {
                format!("give {flag} or set {variable}")
            }
            CliError::Address { variable, .. } => {
                format!("set {variable} to an IP address and port, such as 127.0.0.1:7000")
            }
            CliError::Runtime { .. } => "check the limits of the process".to_owned(),
            CliError::Read { .. } => "check the path and its permissions".to_owned(),
            CliError::Write { .. } => {
                "choose a directory that exists and a file that does not".to_owned()
            }
            CliError::Faulty { .. } => "correct the faults and try again".to_owned(),
            CliError::KeyFile { .. } | CliError::Key(_) => {
                "make a key with `rosemarybank bundle keygen`".to_owned()
            }
            CliError::Sign(_) => "list the faults with `rosemarybank bundle check`".to_owned(),
            CliError::Unreachable { .. } => "check the address; nothing was sent".to_owned(),
            CliError::NoReply { .. } => "try again, or ask another instance".to_owned(),
            CliError::BadReply { .. } => {
                "check that the address is the right port of the right program".to_owned()
            }
            CliError::Refused { body, .. } => body.help.to_string(),
            CliError::NoTrace { .. } => {
                "ask the instance that answered; it keeps only its latest spans".to_owned()
            }
            CliError::Platform(_) => "check the platform's address; nothing was changed".to_owned(),
            CliError::BadObject { .. } => {
                "check that this command and the instances are of the same release".to_owned()
            }
            CliError::NoConfiguration => {
                "roll the first bundle out with `rosemarybank bundle roll-out`".to_owned()
            }
            CliError::RollOutConflict { in_force, .. } => format!(
                "compare with `rosemarybank bundle log --show {in_force}`, then roll out again"
            ),
            CliError::BundleTooLarge { .. } => {
                "join neighbouring shards or shorten the comments".to_owned()
            }
            CliError::RollOutUnknown { .. } => {
                "look with `rosemarybank bundle status`, then roll out again if needed".to_owned()
            }
            CliError::SignedFile { .. } => {
                "give the output of `rosemarybank bundle sign`".to_owned()
            }
            CliError::UnknownVersion { .. } => {
                "list the versions with `rosemarybank bundle log`".to_owned()
            }
            CliError::NoClaim { .. } => "check the caller's name and the key".to_owned(),
            CliError::ClaimChanged { .. } => {
                "look at the action again before settling it".to_owned()
            }
            CliError::ClaimHeld { owner, .. } => format!(
                "wait for its answer, or stop `{owner}` and settle again with --holder-stopped"
            ),
            CliError::ClaimSettled { .. } => "nothing needs to be settled".to_owned(),
            CliError::SettleUnknown { .. } => "settle it again; it is changed once".to_owned(),
            CliError::NotQuarantined { .. } => {
                "list the requests with `rosemarybank quarantine list`".to_owned()
            }
            CliError::NoSnapshot { .. } => {
                "look with `rosemarybank instances` which replicas are live".to_owned()
            }
            CliError::NoService { .. } => {
                "check the name with `rosemarybank bundle log --show <version>`".to_owned()
            }
            CliError::ActionUnknown { key, .. } => {
                format!("submit it again with `--key {key}`; it takes effect at most once")
            }
        }
    }

    /// The error of an action that was sent but has no readable answer: it may have been run.
    pub(crate) fn of_action(self, key: &str) -> CliError {
        match self {
            CliError::NoReply { .. } | CliError::BadReply { .. } => {
                CliError::ActionUnknown { key: key.to_owned(), message: self.to_string() }
            }
            other => other,
        }
    }

    /// How the process ends.
    pub(crate) fn exit(&self) -> ExitStatus {
        match self {
            CliError::Usage(_) | CliError::MissingSetting { .. } | CliError::Address { .. } => {
                ExitStatus::Usage
            }
            CliError::Faulty { .. }
            | CliError::NoTrace { .. }
            | CliError::NoConfiguration
            | CliError::NotQuarantined { .. }
            | CliError::NoService { .. }
            | CliError::UnknownVersion { .. }
            | CliError::NoClaim { .. } => ExitStatus::Finding,
            CliError::RollOutConflict { .. }
            | CliError::ClaimChanged { .. }
            | CliError::ClaimHeld { .. }
            | CliError::ClaimSettled { .. } => ExitStatus::Conflict,
            CliError::Refused { body, .. } => refusal_exit(body),
            CliError::ActionUnknown { .. }
            | CliError::RollOutUnknown { .. }
            | CliError::SettleUnknown { .. } => ExitStatus::Unknown,
            CliError::Unreachable { .. }
            | CliError::NoReply { .. }
            | CliError::BadReply { .. }
            | CliError::NoSnapshot { .. }
            | CliError::Platform(_)
            | CliError::BadObject { .. } => ExitStatus::Unreachable,
            CliError::Runtime { .. }
            | CliError::Read { .. }
            | CliError::Write { .. }
            | CliError::KeyFile { .. }
            | CliError::Key(_)
            | CliError::Sign(_)
            | CliError::BundleTooLarge { .. }
            | CliError::SignedFile { .. } => ExitStatus::Local,
        }
    }
}

fn refusal(body: &ErrorBody) -> String {
    let kind = serde_json::to_value(body.error).unwrap_or_default();
    let mut text = format!("{}: {}", kind.as_str().unwrap_or_default(), body.message);
    if let Some(coverage) = &body.coverage {
        text.push_str(&format!("\n{}", coverage_text(coverage).trim_end()));
    }
    if !body.trace_id.is_empty() {
        text.push_str(&format!("\ntrace {}", body.trace_id));
    }
    text
}

fn refusal_exit(body: &ErrorBody) -> ExitStatus {
    match (body.error, body.execution) {
        (ErrorKind::KeyConflict, _) => ExitStatus::Conflict,
        (_, Execution::NotRun) => ExitStatus::NotRun,
        (_, Execution::Partial) => ExitStatus::Finding,
        (_, Execution::Unknown) => ExitStatus::Unknown,
    }
}

fn lines(path: &std::path::Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}:{fault}", path.display())).collect();
    lines.join("\n")
}
