use std::{
    env, fs,
    future::Future,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use tokio::runtime::Builder;

use crate::{app::write_all, error::CliError};

/// Environment variable that is used without `--platform`.
const PLATFORM_ENV_VAR: &str = "ROSEMARYBANK_PLATFORM";
/// Environment variable that is used without `--entry`.
const ENTRY_ENV_VAR: &str = "ROSEMARYBANK_ENTRY";
/// Environment variable that is used without `--admin`.
const ADMIN_ENV_VAR: &str = "ROSEMARYBANK_ADMIN";
/// Environment variable that is used without `--token-file`. There is no flag for the token itself,
/// because other users of the machine can read the arguments of a process.
const TOKEN_ENV_VAR: &str = "ROSEMARYBANK_TOKEN";

/// Settings, progress output and async runtime for the commands.
#[derive(Debug)]
pub(crate) struct Context;

impl Context {
    /// Prints a progress message to standard error, so that standard output contains only the
    /// result.
    pub(crate) fn note(&self, text: impl AsRef<str>) {
        write_all(&mut std::io::stderr(), &format!("{}\n", text.as_ref()));
    }

    /// Address of the platform's object API.
    pub(crate) fn platform_addr(&self, flag: Option<SocketAddr>) -> Result<SocketAddr, CliError> {
        resolve_addr(flag, "--platform", PLATFORM_ENV_VAR)
    }

    /// Address of the callers' port of an entry instance.
    pub(crate) fn entry_addr(&self, flag: Option<SocketAddr>) -> Result<SocketAddr, CliError> {
        resolve_addr(flag, "--entry", ENTRY_ENV_VAR)
    }

    /// Address of the admin port of an entry instance.
    pub(crate) fn admin_addr(&self, flag: Option<SocketAddr>) -> Result<SocketAddr, CliError> {
        resolve_addr(flag, "--admin", ADMIN_ENV_VAR)
    }

    /// Token of the caller, from a file or the environment.
    pub(crate) fn token(&self, file: Option<&Path>) -> Result<String, CliError> {
        match (file, env::var(TOKEN_ENV_VAR)) {
            (Some(file), _) => Ok(read_file(file)?.trim().to_owned()),
            (None, Ok(token)) => Ok(token),
            (None, Err(_)) => {
                Err(CliError::MissingSetting { flag: "--token-file", variable: TOKEN_ENV_VAR })
            }
        }
    }

    /// Runs a future to completion on the current thread.
    pub(crate) fn block_on<T>(&self, future: impl Future<Output = T>) -> Result<T, CliError> {
        block_on(Builder::new_current_thread(), future)
    }

    /// Runs a future to completion on the current thread and its spawned tasks on `threads` worker
    /// threads.
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

/// Returns a function that converts the error of writing to `path`.
pub(crate) fn write_error(path: &Path) -> impl FnOnce(std::io::Error) -> CliError {
    let path: PathBuf = path.to_owned();
    move |source| CliError::WriteFile { path, source }
}
