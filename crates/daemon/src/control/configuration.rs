use std::{rc::Rc, sync::Arc};

use rosemarybank_bundle as bundle;
use rosemarybank_platform::WatchEvent;
use rosemarybank_protocol::platform::{CONFIG_PATH, SignedBundle};
use rosemarybank_query::interface::Event;
use slog::{error, info, warn};

use super::{replicas::Replicas, shared::Shared};
use crate::{
    message::{ControlToFront, FrontConfig},
    telemetry::{Counter, Gauge},
};

/// Follows the configuration in the store for ever.
pub(super) async fn follow(shared: Rc<Shared>, replicas: Replicas) {
    let mut watch = shared.platform.watch(CONFIG_PATH);
    loop {
        let value = match watch.next().await {
            WatchEvent::Listed(listing) => listing.objects.into_iter().last().map(|it| it.value),
            WatchEvent::Changed(changes) => changes.into_iter().last().and_then(|it| it.value),
            WatchEvent::Interrupted(err) => {
                info!(shared.log, "the configuration is not followed"; "error" => %err);
                continue;
            }
        };
        let Some(value) = value else { continue };
        match serde_json::from_slice::<SignedBundle>(&value) {
            Ok(signed) => activate(&shared, &replicas, &signed),
            Err(err) => warn!(shared.log, "the configuration is not readable"; "error" => %err),
        }
    }
}

/// Puts a bundle into force if it is newer and its signature is valid.
fn activate(shared: &Shared, replicas: &Replicas, signed: &SignedBundle) {
    let held = shared.in_force.borrow().as_ref().map(|(version, _)| *version);
    if held.is_some_and(|it| it >= signed.version) {
        return;
    }
    if let Err(err) = bundle::verify(signed, &shared.settings.trusted) {
        shared.recorder.count(Counter::BundlesRefused);
        error!(shared.log, "a bundle is refused"; "version" => signed.version, "error" => %err);
        return;
    }
    let parsed = match bundle::parse(&signed.bundle) {
        Ok(parsed) => Rc::new(parsed),
        Err(faults) => {
            shared.recorder.count(Counter::BundlesRefused);
            let fault = faults.first().map(ToString::to_string).unwrap_or_default();
            error!(shared.log, "a bundle has faults"; "version" => signed.version,
                "first" => fault);
            return;
        }
    };
    *shared.in_force.borrow_mut() = Some((signed.version, Rc::clone(&parsed)));
    shared.engine_event(Event::Configure(Box::new((*parsed).clone())));
    shared.front.send(ControlToFront::Config(Arc::new(FrontConfig::new(&parsed))));
    replicas.connect();
    shared.readiness.set_configured();
    shared.gauge(Gauge::Version, signed.version);
    info!(shared.log, "a bundle is in force"; "version" => signed.version);
}
