//! Starts the daemon on the platform and runs it until it is stopped.

use std::{
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use eyre::{Result, WrapErr};
use rosemarybank_adapter::{NodeSettings, headers::SETTINGS_VARIABLE};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Event, Forwarder, Settings};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::platform::{
    event_loop::EventLoop,
    journal::{Journal, LineKind},
    shutdown::ShutdownPhase,
};

/// Interval of checking the settings file, which may change without a SIGHUP.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Flags set by signal handlers.
#[derive(Clone, Default)]
struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Runs an instance on the company platform.
///
/// # Errors
///
/// Fails when the settings are invalid, an address cannot be bound, or polling for events fails.
pub fn run(metrics_port: Option<u16>) -> Result<()> {
    let path = settings_path()?;
    let (settings, text) = load(&path)?;
    let signals = Signals::default();
    signal_hook::flag::register(SIGTERM, signals.stop.clone())?;
    signal_hook::flag::register(SIGINT, signals.stop.clone())?;
    signal_hook::flag::register(SIGHUP, signals.reload.clone())?;
    let forwarder = Forwarder::new(forwarder_settings(&settings));
    let mut journal = Journal::start()?;
    journal.log(
        Time::ZERO,
        LineKind::Lifecycle,
        "start",
        format_args!(
            r#""instance":{:?},"data_centre":{:?},"front":"{}","store":"{}","unix_ms":{}"#,
            settings.instance.as_str(),
            settings.data_centre.as_str(),
            settings.client_addr,
            settings.store_addr,
            crate::clock::unix_ms(),
        ),
    );
    let mut event_loop = EventLoop::new(settings, text, metrics_port, forwarder, journal)?;
    let mut events = EventLoop::event_buffer();
    let mut next_settings_check = SETTINGS_CHECK_INTERVAL;
    while !event_loop.is_finished() {
        event_loop.run_once(&mut events)?;
        if signals.stop.load(Ordering::Relaxed) && event_loop.phase() == ShutdownPhase::Serving {
            begin_shutdown(&mut event_loop);
        }
        if signals.reload.swap(false, Ordering::Relaxed) || event_loop.now >= next_settings_check {
            next_settings_check = event_loop.now + SETTINGS_CHECK_INTERVAL;
            reload(&mut event_loop, &path);
        }
    }
    let in_flight = event_loop.forwarder.in_flight();
    let (now, mut journal) = (event_loop.now, event_loop.journal);
    journal.log(now, LineKind::Lifecycle, "stop", format_args!(r#""in_flight":{in_flight}"#));
    journal.close();
    Ok(())
}

/// Checks the settings file that the environment variable names, and returns its path.
///
/// # Errors
///
/// Fails when the variable is not set, the file cannot be read, or its content is invalid.
pub fn check_settings() -> Result<PathBuf> {
    let path = settings_path()?;
    load(&path)?;
    Ok(path)
}

fn settings_path() -> Result<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| eyre::eyre!("the environment variable {SETTINGS_VARIABLE} is not set"))
}

fn load(path: &Path) -> Result<(NodeSettings, Vec<u8>)> {
    let text = std::fs::read(path).wrap_err_with(|| format!("reading {}", path.display()))?;
    let settings = NodeSettings::decode(&text).wrap_err_with(|| path.display().to_string())?;
    Ok((settings, text))
}

fn forwarder_settings(settings: &NodeSettings) -> Settings {
    Settings {
        data_centre: settings.data_centre.clone(),
        region: settings.region(),
        budget: settings.budget,
        seed: crate::clock::unix_ms() ^ u64::from(settings.client_addr.port()),
    }
}

fn begin_shutdown(event_loop: &mut EventLoop) {
    event_loop.shutdown.begin(event_loop.now);
    let answer_by = event_loop.shutdown.answer_by(event_loop.settings.stop_grace);
    let event = Event::Stopping { answer_by };
    event_loop.forwarder.handle(event_loop.now, event, &mut event_loop.actions);
    event_loop.deregister_instance();
    let in_flight = event_loop.forwarder.in_flight();
    event_loop.journal.log(
        event_loop.now,
        LineKind::Lifecycle,
        "stop_asked",
        format_args!(r#""in_flight":{in_flight}"#),
    );
}

/// Applies the settings file if it changed. An invalid file is ignored.
fn reload(event_loop: &mut EventLoop, path: &Path) {
    let now = event_loop.now;
    match load(path) {
        Ok((_, text)) if text == event_loop.settings_text => {}
        Ok((settings, text)) => {
            event_loop.forwarder.set_budget(settings.budget);
            event_loop.settings = settings;
            event_loop.set_memory_limits();
            event_loop.settings_text = text;
            event_loop.journal.log(
                now,
                LineKind::Lifecycle,
                "reload",
                format_args!(r#""outcome":"applied""#),
            );
        }
        Err(err) => event_loop.journal.log(
            now,
            LineKind::Lifecycle,
            "reload",
            format_args!(r#""outcome":"ignored","reason":{:?}"#, format!("{err:#}")),
        ),
    }
}
