//! Starts one entry instance and runs it until it is asked to stop.

use std::{path::PathBuf, process::ExitCode, sync::mpsc, thread};

use eyre::Result;
use rosemarybank_daemon::{
    daemon::{Daemon, Notice},
    logging, platform, settings,
    stop::{self, StopOutcome},
};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

fn main() -> Result<ExitCode> {
    let flags = xflags::parse_or_exit! {
        /// File with the settings of the instance; config/rosemarybankd.yaml shows every key.
        optional --settings file: PathBuf
        /// Run on the company platform, which names the settings file itself.
        optional --platform
        /// With --platform: port on which metrics are served.
        optional --metrics-port port: u16
        /// Check the settings, report every fault and exit.
        optional --check-settings
    };
    if flags.platform && flags.check_settings {
        println!("{}: the settings have no faults", platform::check_settings()?.display());
        return Ok(ExitCode::SUCCESS);
    }
    if flags.platform {
        platform::run(flags.metrics_port)?;
        return Ok(ExitCode::SUCCESS);
    }
    let Some(path) = flags.settings else {
        eprintln!("either --settings FILE or --platform is required; see --help");
        return Ok(ExitCode::from(2));
    };
    let settings = match settings::load(&path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(2));
        }
    };
    if flags.check_settings {
        println!("{}: the settings have no faults", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    run(settings)
}

fn run(settings: settings::Settings) -> Result<ExitCode> {
    let (log, log_guard) = logging::logger(&settings);
    let (notices_tx, notices) = mpsc::channel();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let notices_from_signals = notices_tx.clone();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            if notices_from_signals.send(Notice::StopRequested).is_err() {
                return;
            }
        }
    })?;
    let stop = settings.stop.clone();
    let daemon = Daemon::start(settings, &log, &notices_tx)?;
    let ending = stop::run_until_stopped(&daemon, &stop, &notices, &log);
    drop(log);
    drop(log_guard);
    Ok(match ending {
        StopOutcome::Graceful => ExitCode::SUCCESS,
        StopOutcome::Forced | StopOutcome::ThreadExited => ExitCode::FAILURE,
    })
}
