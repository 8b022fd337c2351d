//! Starts the instance and runs it until it is stopped.

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
    journal::{Journal, Kind},
    node::Node,
    stop::Phase,
};

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);

/// Signals that have arrived.
#[derive(Clone, Default)]
struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Runs an instance on the company platform.
///
/// # Errors
///
/// Fails when the settings can't be used or an address can't be bound.
pub fn run(metrics_port: Option<u16>) -> Result<()> {
    let path = settings_path()?;
    let (settings, text) = load(&path)?;
    let signals = Signals::default();
    signal_hook::flag::register(SIGTERM, signals.stop.clone())?;
    signal_hook::flag::register(SIGINT, signals.stop.clone())?;
    signal_hook::flag::register(SIGHUP, signals.reload.clone())?;
    let forwarder = Forwarder::new(forwarder_settings(&settings));
    let mut journal = Journal::start()?;
    journal.line(
        Time::ZERO,
        Kind::Life,
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
    let mut node = Node::new(settings, text, metrics_port, forwarder, journal)?;
    let mut events = Node::events();
    let mut next_look = SETTINGS_EVERY;
    while !node.is_finished() {
        node.turn(&mut events)?;
        if signals.stop.load(Ordering::Relaxed) && node.phase() == Phase::Serving {
            begin_stop(&mut node);
        }
        if signals.reload.swap(false, Ordering::Relaxed) || node.now >= next_look {
            next_look = node.now + SETTINGS_EVERY;
            reload(&mut node, &path);
        }
    }
    let in_flight = node.forwarder.in_flight();
    let (now, mut journal) = (node.now, node.journal);
    journal.line(now, Kind::Life, "stop", format_args!(r#""in_flight":{in_flight}"#));
    journal.close();
    Ok(())
}

/// Checks the settings file that the platform names, and returns its path.
///
/// # Errors
///
/// Fails when there is none, or a field that is needed is missing or has a value that can't be used.
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

fn begin_stop(node: &mut Node) {
    node.stop.ask(node.now);
    node.forwarder.handle(node.now, Event::Stopping, &mut node.actions);
    node.deregister_instance();
    let in_flight = node.forwarder.in_flight();
    node.journal.line(
        node.now,
        Kind::Life,
        "stop_asked",
        format_args!(r#""in_flight":{in_flight}"#),
    );
}

/// Takes over the settings file if it changed. A file that can't be used changes nothing.
fn reload(node: &mut Node, path: &Path) {
    let now = node.now;
    match load(path) {
        Ok((_, text)) if text == node.settings_text => {}
        Ok((settings, text)) => {
            node.forwarder.set_budget(settings.budget);
            node.settings = settings;
            node.settings_text = text;
            node.journal.line(now, Kind::Life, "reload", format_args!(r#""outcome":"applied""#));
        }
        Err(err) => node.journal.line(
            now,
            Kind::Life,
            "reload",
            format_args!(r#""outcome":"ignored","reason":{:?}"#, format!("{err:#}")),
        ),
    }
}
