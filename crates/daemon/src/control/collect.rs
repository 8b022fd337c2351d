use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use rosemarybank_coordination::claim_gc::{
    Action, ClaimRef, DeleteResult, Event, Machine, Settings,
};
use rosemarybank_store::{Change, Object};
use slog::{debug, warn};
use tokio::time::{interval, sleep_until};

use super::{claims::etag, shared::Shared};
use crate::telemetry::Counter;

/// Interval at which the machine learns whether this instance is the collector.
const DUTY_INTERVAL: Duration = Duration::from_secs(1);

/// Deletes old claims while this instance is the collector of the fleet. Never ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let settings = Settings::builder().unix_ms_at_zero(shared.clock.unix_ms_at_zero()).build();
    let mut machine = Machine::new(settings);
    let mut duty_timer = interval(DUTY_INTERVAL);
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
            _ = duty_timer.tick() => duty(&shared),
            () = tick => Event::Tick,
        };
        machine.handle(shared.clock.now(), event, &mut out);
        for action in out.drain(..) {
            calls.push(carry_out(Rc::clone(&shared), action));
        }
    }
}

fn duty(shared: &Shared) -> Event {
    let in_force = shared.in_force.borrow();
    let callers = in_force.as_ref().map(|(_, bundle)| &bundle.callers);
    let callers = callers.into_iter().flatten().map(|it| it.name.clone()).collect();
    Event::RoleChanged { is_collector: shared.is_collector.get(), callers }
}

/// Makes the store call of an action; `None` when it asks for none.
async fn carry_out(shared: Rc<Shared>, action: Action) -> Option<Event> {
    match action {
        Action::List { prefix } => Some(match shared.platform.list(&prefix).await {
            Ok(listing) => {
                let claims = listing.objects.into_iter().map(claim_ref).collect();
                Event::Listed { prefix, claims }
            }
            Err(err) => {
                shared.recorder.count(Counter::PlatformFailures);
                debug!(shared.log, "claims are not listed"; "prefix" => %prefix, "error" => %err);
                Event::ListFailed { prefix }
            }
        }),
        Action::Delete(claim) => {
            let result = delete(&shared, &claim).await;
            Some(Event::Deleted { claim, result })
        }
        Action::Unreadable { path } => {
            shared.recorder.count(Counter::ClaimsUnreadable);
            warn!(shared.log, "a path among the claims names no claim"; "path" => %path);
            None
        }
    }
}

async fn delete(shared: &Shared, claim: &ClaimRef) -> DeleteResult {
    // The tag was made from a version by `claim_ref`.
    let Ok(version) = claim.etag.parse() else { return DeleteResult::Conflict };
    match shared.platform.delete(&claim.path, version).await {
        Change::Applied { .. } => {
            shared.recorder.count(Counter::ClaimsDeleted);
            DeleteResult::Deleted
        }
        Change::Conflict { .. } => DeleteResult::Conflict,
        Change::NotApplied(_) | Change::Unknown(_) => {
            shared.recorder.count(Counter::PlatformFailures);
            DeleteResult::Failed
        }
    }
}

fn claim_ref(object: Object) -> ClaimRef {
    ClaimRef { path: object.path, etag: etag(object.version) }
}
