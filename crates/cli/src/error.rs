use std::{io, net::SocketAddr, path::PathBuf};

use rosemarybank_bundle::{Fault, KeyError, SignError};
use rosemarybank_protocol::{
    error::{ErrorBody, ErrorKind, Execution},
    id::Version,
};
use rosemarybank_store::CallError;
use thiserror::Error;

use crate::{commands::search::coverage_text, exit::ExitStatus};

/// An error that ends a command.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    #[error("{0}")]
    Usage(String),
    #[error("missing value for {flag}")]
    MissingSetting { flag: &'static str, variable: &'static str },
    #[error("{variable}: `{text}` is not a socket address")]
    InvalidAddress { variable: &'static str, text: String },
    #[error("cannot start the async runtime: {source}")]
    Runtime { source: io::Error },
    #[error("cannot read {path}: {source}", path = path.display())]
    ReadFile { path: PathBuf, source: io::Error },
    #[error("cannot write {path}: {source}", path = path.display())]
    WriteFile { path: PathBuf, source: io::Error },
    #[error("{path} has {count} faults:\n{lines}", path = path.display(), count = faults.len(), lines = fault_lines(path, faults))]
    InvalidBundle { path: PathBuf, faults: Vec<Fault> },
    #[error("{path}: {source}", path = path.display())]
    InvalidKeyFile { path: PathBuf, source: KeyError },
    #[error("{0}")]
    Key(#[from] KeyError),
    #[error("{0}")]
    Sign(#[from] SignError),
    #[error("cannot connect to {addr}: {message}")]
    Unreachable { addr: SocketAddr, message: String },
    #[error("no response from {addr}: {message}")]
    NoResponse { addr: SocketAddr, message: String },
    #[error("unexpected response from {addr} with status {status}: {body_start}")]
    InvalidResponse { addr: SocketAddr, status: u16, body_start: String },
    #[error("error response from {addr}: {message}", message = describe_error_body(body))]
    ErrorResponse { addr: SocketAddr, body: Box<ErrorBody> },
    #[error("trace {id} not found on {addr}")]
    TraceNotFound { addr: SocketAddr, id: String },
    #[error("request {service}/{fingerprint} is not quarantined on {addr}")]
    NotQuarantined { addr: SocketAddr, service: String, fingerprint: String },
    #[error("no snapshot of `{service}` has a live replica for each shard")]
    NoCompleteSnapshot { service: String },
    #[error("the active bundle has no search service `{service}`")]
    ServiceNotFound { service: String },
    #[error("{0}")]
    Platform(CallError),
    #[error("cannot parse object {path}: {message}")]
    InvalidObject { path: String, message: String },
    #[error("no configuration is rolled out")]
    NoConfiguration,
    #[error(
        "the bundle was not rolled out as version {planned_version}: version {active_version}, signed by `{signer}`, is active"
    )]
    RollOutConflict { planned_version: Version, active_version: Version, signer: String },
    #[error("the signed bundle has {len} bytes; the maximum is {max}")]
    BundleTooLarge { len: usize, max: usize },
    #[error(
        "it is unknown whether version {version} was rolled out: the platform's responses were lost"
    )]
    RollOutOutcomeUnknown { version: Version },
    #[error("{path} is not a signed bundle: {message}", path = path.display())]
    InvalidSignedFile { path: PathBuf, message: String },
    #[error("version {version} is not in the history")]
    UnknownVersion { version: Version },
    #[error("claim {path} not found")]
    ClaimNotFound { path: String },
    #[error("claim {path} changed while it was being settled")]
    ClaimChanged { path: String },
    #[error("claim {path} is held by instance `{owner}`, which may still send the action")]
    ClaimHeld { path: String, owner: String },
    #[error("claim {path} is already settled: {state}")]
    ClaimAlreadySettled { path: String, state: String },
    #[error("it is unknown whether claim {path} was settled: {source}")]
    SettleOutcomeUnknown { path: String, source: CallError },
    #[error("the outcome of the action with key {key} is unknown: {message}")]
    ActionOutcomeUnknown { key: String, message: String },
}

impl CliError {
    /// Advice on how to resolve the error.
    pub(crate) fn help(&self) -> String {
        match self {
            CliError::Usage(_) => "see `rosemarybank help`".to_owned(),
            CliError::MissingSetting { flag, variable } => {
                format!("pass {flag} or set {variable}")
            }
            CliError::InvalidAddress { variable, .. } => {
                format!("set {variable} to an IP address and port, such as 127.0.0.1:7000")
            }
            CliError::Runtime { .. } => "check the resource limits of the process".to_owned(),
            CliError::ReadFile { .. } => "check the path and its permissions".to_owned(),
            CliError::WriteFile { .. } => {
                "choose a directory that exists and a file that does not".to_owned()
            }
            CliError::InvalidBundle { .. } => {
                "correct the faults and run the command again".to_owned()
            }
            CliError::InvalidKeyFile { .. } | CliError::Key(_) => {
                "generate a key with `rosemarybank bundle keygen`".to_owned()
            }
            CliError::Sign(_) => "list the faults with `rosemarybank bundle check`".to_owned(),
            CliError::Unreachable { .. } => "check the address; nothing was sent".to_owned(),
            CliError::NoResponse { .. } => "try again, or use another instance".to_owned(),
            CliError::InvalidResponse { .. } => {
                "check that the address belongs to the expected server and port".to_owned()
            }
            CliError::ErrorResponse { body, .. } => body.help.to_string(),
            CliError::TraceNotFound { .. } => {
                "query the instance that handled the request; it keeps only its latest spans"
                    .to_owned()
            }
            CliError::Platform(_) => "check the platform's address; nothing was changed".to_owned(),
            CliError::InvalidObject { .. } => {
                "check that this tool and the instances have the same release".to_owned()
            }
            CliError::NoConfiguration => {
                "roll the first bundle out with `rosemarybank bundle roll-out`".to_owned()
            }
            CliError::RollOutConflict { active_version, .. } => format!(
                "compare with `rosemarybank bundle log --show {active_version}`, then roll out again"
            ),
            CliError::BundleTooLarge { .. } => {
                "merge adjacent shards or shorten the comments".to_owned()
            }
            CliError::RollOutOutcomeUnknown { .. } => {
                "check with `rosemarybank bundle status`, then roll out again if needed".to_owned()
            }
            CliError::InvalidSignedFile { .. } => {
                "pass the output of `rosemarybank bundle sign`".to_owned()
            }
            CliError::UnknownVersion { .. } => {
                "list the versions with `rosemarybank bundle log`".to_owned()
            }
            CliError::ClaimNotFound { .. } => "check the caller's name and the key".to_owned(),
            CliError::ClaimChanged { .. } => "check the action again before settling it".to_owned(),
            CliError::ClaimHeld { owner, .. } => format!(
                "wait for its outcome, or stop `{owner}` and settle again with --holder-stopped"
            ),
            CliError::ClaimAlreadySettled { .. } => "the claim needs no change".to_owned(),
            CliError::SettleOutcomeUnknown { .. } => {
                "settle it again; the change takes effect at most once".to_owned()
            }
            CliError::NotQuarantined { .. } => {
                "list the requests with `rosemarybank quarantine list`".to_owned()
            }
            CliError::NoCompleteSnapshot { .. } => {
                "list the live replicas with `rosemarybank instances`".to_owned()
            }
            CliError::ServiceNotFound { .. } => {
                "check the name with `rosemarybank bundle log --show <version>`".to_owned()
            }
            CliError::ActionOutcomeUnknown { key, .. } => {
                format!("submit it again with `--key {key}`; it takes effect at most once")
            }
        }
    }

    /// Converts the error of an action that was sent but has no usable response, because the action
    /// may have run.
    pub(crate) fn for_action(self, key: &str) -> CliError {
        match self {
            CliError::NoResponse { .. } | CliError::InvalidResponse { .. } => {
                CliError::ActionOutcomeUnknown { key: key.to_owned(), message: self.to_string() }
            }
            other => other,
        }
    }

    /// Exit status of the process.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            CliError::Usage(_)
            | CliError::MissingSetting { .. }
            | CliError::InvalidAddress { .. } => ExitStatus::Usage,
            CliError::InvalidBundle { .. }
            | CliError::TraceNotFound { .. }
            | CliError::NoConfiguration
            | CliError::NotQuarantined { .. }
            | CliError::ServiceNotFound { .. }
            | CliError::UnknownVersion { .. }
            | CliError::ClaimNotFound { .. } => ExitStatus::Findings,
            CliError::RollOutConflict { .. }
            | CliError::ClaimChanged { .. }
            | CliError::ClaimHeld { .. }
            | CliError::ClaimAlreadySettled { .. } => ExitStatus::Conflict,
            CliError::ErrorResponse { body, .. } => error_body_exit_status(body),
            CliError::ActionOutcomeUnknown { .. }
            | CliError::RollOutOutcomeUnknown { .. }
            | CliError::SettleOutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
            CliError::Unreachable { .. }
            | CliError::NoResponse { .. }
            | CliError::InvalidResponse { .. }
            | CliError::NoCompleteSnapshot { .. }
            | CliError::Platform(_)
            | CliError::InvalidObject { .. } => ExitStatus::ServerError,
            CliError::Runtime { .. }
            | CliError::ReadFile { .. }
            | CliError::WriteFile { .. }
            | CliError::InvalidKeyFile { .. }
            | CliError::Key(_)
            | CliError::Sign(_)
            | CliError::BundleTooLarge { .. }
            | CliError::InvalidSignedFile { .. } => ExitStatus::LocalFile,
        }
    }
}

fn describe_error_body(body: &ErrorBody) -> String {
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

fn error_body_exit_status(body: &ErrorBody) -> ExitStatus {
    match (body.error, body.execution) {
        (ErrorKind::KeyConflict, _) => ExitStatus::Conflict,
        (_, Execution::NotRun) => ExitStatus::NotRun,
        (_, Execution::Partial) => ExitStatus::Findings,
        (_, Execution::Unknown) => ExitStatus::OutcomeUnknown,
    }
}

fn fault_lines(path: &std::path::Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}:{fault}", path.display())).collect();
    lines.join("\n")
}
