use std::{
    env, fs,
    future::Future,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use tokio::runtime::Builder;

use crate::{app::write_all, error::CliError};

/// Variable that replaces `--platform`.
const PLATFORM_ENV_VAR: &str = "ROSEMARYBANK_PLATFORM";
/// Variable that replaces `--entry`.
const ENTRY_ENV_VAR: &str = "ROSEMARYBANK_ENTRY";
/// Variable that replaces `--admin`.
const ADMIN_ENV_VAR: &str = "ROSEMARYBANK_ADMIN";
/// Variable that replaces `--token-file`. A token is never an argument, because other users of a
/// machine can read the arguments of a process.
const TOKEN_ENV_VAR: &str = "ROSEMARYBANK_TOKEN";

/// What every command has around it.
#[derive(Debug)]
pub(crate) struct Context;

impl Context {
    /// Tells the operator something before the command ends. It goes to standard error, so that
    /// standard output holds only the result.
    pub(crate) fn note(&self, text: impl AsRef<str>) {
        write_all(&mut std::io::stderr(), &format!("{}\n", text.as_ref()));
    }

    /// The platform's address.
    pub(crate) fn platform_addr(&self, flag: Option<SocketAddr>) -> Result<SocketAddr, CliError> {
        resolve_addr(flag, "--platform", PLATFORM_ENV_VAR)
    }

    /// The address of an entry instance's callers port.
    pub(crate) fn entry_addr(&self, flag: Option<SocketAddr>) -> Result<SocketAddr, CliError> {
        resolve_addr(flag, "--entry", ENTRY_ENV_VAR)
    }

    /// The address of an entry instance's admin port.
    pub(crate) fn admin_addr(&self, flag: Option<SocketAddr>) -> Result<SocketAddr, CliError> {
        resolve_addr(flag, "--admin", ADMIN_ENV_VAR)
    }

    /// The caller's token.
    pub(crate) fn token(&self, file: Option<&Path>) -> Result<String, CliError> {
        match (file, env::var(TOKEN_ENV_VAR)) {
            (Some(file), _) => Ok(read_file(file)?.trim().to_owned()),
            (None, Ok(token)) => Ok(token),
            (None, Err(_)) => {
                Err(CliError::MissingSetting { flag: "--token-file", variable: TOKEN_ENV_VAR })
            }
        }
    }

    /// Runs asynchronous work to its end on this thread.
    pub(crate) fn block_on<T>(&self, future: impl Future<Output = T>) -> Result<T, CliError> {
        block_on(Builder::new_current_thread(), future)
    }

    /// Runs asynchronous work to its end on this thread and `threads` others.
    pub(crate) fn block_on_multi_thread<T>(
        &self,
        threads: usize,
        future: impl Future<Output = T>,
    ) -> Result<T, CliError> {
        let mut builder = Builder::new_multi_thread();
        builder.worker_threads(threads);
        block_on(builder, future)
    }
}

fn block_on<T>(mut builder: Builder, future: impl Future<Output = T>) -> Result<T, CliError> {
    let runtime = builder.enable_all().build();
    let runtime = runtime.map_err(|source| CliError::Runtime { source })?;
    Ok(runtime.block_on(future))
}

fn resolve_addr(
    flag: Option<SocketAddr>,
    name: &'static str,
    variable: &'static str,
) -> Result<SocketAddr, CliError> {
    if let Some(addr) = flag {
        return Ok(addr);
    }
    let Ok(text) = env::var(variable) else {
        return Err(CliError::MissingSetting { flag: name, variable });
    };
    text.parse().map_err(|_| CliError::InvalidAddress { variable, text })
}

/// Reads a text file.
pub(crate) fn read_file(path: &Path) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(|source| CliError::ReadFile { path: path.to_owned(), source })
}

/// A file that could not be written.
pub(crate) fn write_error(path: &Path) -> impl FnOnce(std::io::Error) -> CliError {
    let path: PathBuf = path.to_owned();
    move |source| CliError::WriteFile { path, source }
}
