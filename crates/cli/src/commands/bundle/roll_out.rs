use std::{
    ffi::OsString,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rosemarybank_bundle::{diff, parse};
use rosemarybank_protocol::{id::Version, platform::SignedBundle};
use serde_json::json;

use super::{read_bundle, read_key};
use crate::{
    command::{Command, Example, Requirement},
    context::{Context, read_file},
    error::CliError,
    exit::ExitStatus,
    report::Report,
    rollout::{
        acceptance, history,
        update::{Candidate, CurrentConfig, read_current, roll_out},
    },
    store::{ObjectStore, platform_client},
};

/// Default time to wait for the acceptance.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

xflags::xflags! {
    cmd bundle-roll-out {
        /// Bundle file.
        optional file: PathBuf
        /// Signing key from `bundle keygen`; not needed with --signed.
        optional --key file: PathBuf
        /// Rolls out the text of an earlier version under a new, higher version.
        optional --from-version version: u64
        /// Rolls out the output of `bundle sign`.
        optional --signed file: PathBuf
        /// Version that must be active; any other active version is a conflict.
        optional --expect version: u64
        /// Returns immediately instead of waiting for a majority of the instances.
        optional --no-wait
        /// Milliseconds to wait for a majority; 30000 if absent.
        optional --wait-ms ms: u64
        /// Number of configured instances; the number that have reported if absent.
        optional --instances number: usize
        /// Address of the platform's object API; $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for BundleRollOut {
    const NAME: &'static [&'static str] = &["bundle", "roll-out"];
    const ABOUT: &'static str = "Signs a bundle as the next version and activates it.";
    const EXAMPLES: &'static [Example] = &[
        Example {
            about: "Roll out and wait for a majority of 6 instances; exit code 3 means that \
                    another roll-out came first, 4 that the version is not yet accepted.",
            args: &["config/bundle.yaml", "--key", "keys/ops-1.key", "--instances", "6"],
            requires: Requirement::Servers,
        },
        Example {
            about: "Roll back to the text of version 6 under a new version.",
            args: &["--from-version", "6", "--key", "keys/ops-1.key"],
            requires: Requirement::Servers,
        },
    ];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleRollOut> {
        let flags = BundleRollOut::from_vec(args)?;
        let sources = [flags.file.is_some(), flags.from_version.is_some(), flags.signed.is_some()];
        if sources.iter().filter(|&&given| given).count() != 1 {
            return Err(xflags::Error::new(
                "pass exactly one of <file>, --from-version and --signed",
            ));
        }
        if flags.signed.is_none() && flags.key.is_none() {
            return Err(xflags::Error::new("flag is required: `--key`"));
        }
        Ok(flags)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let store = platform_client(cx.platform_addr(self.platform)?);
        cx.block_on(self.execute(cx, &store))?
    }
}

/// The bundle that the operator wants to activate.
enum BundleSource {
    Text(String),
    Signed(SignedBundle),
}

impl BundleRollOut {
    async fn execute(&self, cx: &Context, store: &impl ObjectStore) -> Result<Report, CliError> {
        let source = self.source(store).await?;
        let key = self.key.as_deref().map(read_key).transpose()?;
        let current = read_current(store).await?;
        let candidate = match (&source, &key) {
            (BundleSource::Signed(signed), _) => Candidate::Signed(signed.clone()),
            (BundleSource::Text(text), Some(key)) => Candidate::Text { text, key },
            (BundleSource::Text(_), None) => {
                return Err(CliError::Usage("flag is required: `--key`".to_owned()));
            }
        };
        print_changes(cx, &current, &source);
        let signed = roll_out(store, &current, candidate, self.expect).await?;
        cx.note(format!("version {} is rolled out", signed.version));
        record_history(cx, store, &signed).await;
        if self.no_wait {
            let text =
                format!("version {}: rolled out, did not wait for acceptance\n", signed.version);
            return Ok(Report::new(text, &json!({ "version": signed.version })));
        }
        self.await_acceptance(store, signed.version).await
    }

    async fn source(&self, store: &impl ObjectStore) -> Result<BundleSource, CliError> {
        if let Some(path) = &self.signed {
            let signed = serde_json::from_str(&read_file(path)?).map_err(|e| {
                CliError::InvalidSignedFile { path: path.clone(), message: e.to_string() }
            })?;
            return Ok(BundleSource::Signed(signed));
        }
        if let Some(version) = self.from_version {
            let entry = history::read(store, version).await?;
            let entry = entry.ok_or(CliError::UnknownVersion { version })?;
            return Ok(BundleSource::Text(entry.signed.bundle));
        }
        Ok(BundleSource::Text(read_bundle(self.file.as_deref().unwrap_or("".as_ref()))?.0))
    }

    async fn await_acceptance(
        &self,
        store: &impl ObjectStore,
        version: Version,
    ) -> Result<Report, CliError> {
        let timeout = self.wait_ms.map_or(DEFAULT_WAIT, Duration::from_millis);
        let acceptance =
            acceptance::wait_until_accepted(store, version, self.instances, timeout).await?;
        let acceptance::Acceptance { holding, instances, .. } = acceptance;
        let (state, status) = match acceptance.accepted {
            true => ("accepted", ExitStatus::Success),
            false => ("not yet accepted", ExitStatus::NotYetAccepted),
        };
        let text = format!("version {version}: {state}; {holding} of {instances} instances\n");
        Ok(Report::new(text, &acceptance).with_status(status))
    }
}

fn print_changes(cx: &Context, current: &CurrentConfig, source: &BundleSource) {
    let text = match source {
        BundleSource::Text(text) => text,
        BundleSource::Signed(signed) => &signed.bundle,
    };
    let Some((_, previous)) = current else { return };
    let (Ok(old), Ok(new)) = (parse(&previous.bundle), parse(text)) else { return };
    let changes = diff(&old, &new);
    cx.note(format!("changes against version {}: {}", previous.version, changes.len()));
    for change in changes {
        cx.note(format!("  {change}"));
    }
}

/// Writes the history entry. The version is already active, so an error is printed and not
/// returned; the next roll-out adds a missing entry.
async fn record_history(cx: &Context, store: &impl ObjectStore, signed: &SignedBundle) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok();
    let now = now.and_then(|it| u64::try_from(it.as_millis()).ok());
    for result in
        [history::insert(store, signed, now).await, history::prune(store, signed.version).await]
    {
        if let Err(e) = result {
            cx.note(format!("cannot write the history: {e}"));
        }
    }
}
