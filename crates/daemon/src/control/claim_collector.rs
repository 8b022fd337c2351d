use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use rosemarybank_coordination::claim_gc::{
    Action, ClaimRef, DeleteResult, Event, Machine, Settings,
};
use rosemarybank_store::{Object, WriteOutcome};
use slog::{debug, warn};
use tokio::time::{interval, sleep_until};

use super::{claim_store::etag, shared::Shared};
use crate::telemetry::Counter;

/// Interval at which the state machine is told whether this instance is the collector.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Deletes old claims while this instance is the collector of the fleet. Never returns.
pub(super) async fn run(shared: Rc<Shared>) {
    let settings = Settings::builder().unix_ms_at_zero(shared.clock.unix_ms_at_zero()).build();
    let mut machine = Machine::new(settings);
    let mut role_timer = interval(ROLE_CHECK_INTERVAL);
    let mut calls = FuturesUnordered::new();
    let mut out = Vec::new();
    loop {
        let wakeup = machine.next_wakeup().map(|at| shared.clock.instant_at(at));
        let tick = async {
            match wakeup {
                Some(at) => sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        let event = tokio::select! {
            Some(Some(event)) = calls.next() => event,
            _ = role_timer.tick() => role_event(&shared),
            () = tick => Event::Tick,
        };
        machine.handle(shared.clock.now(), event, &mut out);
        for action in out.drain(..) {
            calls.push(execute(Rc::clone(&shared), action));
        }
    }
}

/// Event that states whether this instance is the collector, with the callers of the active bundle.
fn role_event(shared: &Shared) -> Event {
    let active_bundle = shared.active_bundle.borrow();
    let callers = active_bundle.as_ref().map(|(_, bundle)| &bundle.callers);
    let callers = callers.into_iter().flatten().map(|it| it.name.clone()).collect();
    Event::RoleChanged { is_collector: shared.is_collector.get(), callers }
}

/// Executes an action of the state machine and returns the resulting event, if any.
async fn execute(shared: Rc<Shared>, action: Action) -> Option<Event> {
    match action {
        Action::List { prefix } => Some(match shared.platform.list(&prefix).await {
            Ok(listing) => {
                let claims = listing.objects.into_iter().map(claim_ref).collect();
                Event::Listed { prefix, claims }
            }
            Err(err) => {
                shared.recorder.count(Counter::PlatformFailures);
                debug!(shared.log, "failed to list claims"; "prefix" => %prefix, "error" => %err);
                Event::ListFailed { prefix }
            }
        }),
        Action::Delete(claim) => {
            let result = delete(&shared, &claim).await;
            Some(Event::Deleted { claim, result })
        }
        Action::Unreadable { path } => {
            shared.recorder.count(Counter::ClaimsUnreadable);
            warn!(shared.log, "a path under the claims prefix is not the path of a claim";
                "path" => %path);
            None
        }
    }
}

async fn delete(shared: &Shared, claim: &ClaimRef) -> DeleteResult {
    // Cannot fail: `claim_ref` formatted the tag from a version.
    let Ok(version) = claim.etag.parse() else { return DeleteResult::Conflict };
    match shared.platform.delete(&claim.path, version).await {
        WriteOutcome::Applied { .. } => {
            shared.recorder.count(Counter::ClaimsDeleted);
            DeleteResult::Deleted
        }
        WriteOutcome::Conflict { .. } => DeleteResult::Conflict,
        WriteOutcome::NotApplied(_) | WriteOutcome::Unknown(_) => {
            shared.recorder.count(Counter::PlatformFailures);
            DeleteResult::Failed
        }
    }
}

fn claim_ref(object: Object) -> ClaimRef {
    ClaimRef { path: object.path, etag: etag(object.version) }
}
