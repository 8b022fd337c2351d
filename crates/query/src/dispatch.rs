//! One-time actions: one attempt at a time, and another only when the last provably did not run.

use rosemarybank_protocol::{prelude::*, upstream::UpstreamErrorKind};
use smallvec::SmallVec;

use crate::{
    attempts::{Attempt, Owner},
    choice,
    engine::Engine,
    interface::{Action, AttemptId, AttemptOutcome, Dispatch, DispatchId, SendAction},
    replicas::{ReplicaKey, UpstreamIx},
    timers::Timer,
};

/// An action that has not ended.
#[derive(Debug)]
pub(crate) struct DispatchState {
    dispatch: Dispatch,
    upstream: UpstreamIx,
    attempt: Option<AttemptId>,
    tried: SmallVec<[ReplicaKey; 4]>,
    /// Why the last attempt did not run.
    reason: &'static str,
}

impl Engine {
    pub(crate) fn dispatch(&mut self, now: Time, dispatch: Dispatch, out: &mut Vec<Action>) {
        let id = dispatch.dispatch;
        if self.dispatches.contains_key(&id) {
            return;
        }
        let service = self.replicas.find_service(&dispatch.service);
        let plan = service.and_then(|it| self.services.get(&it));
        let Some(upstream) = plan.and_then(|it| it.ledger) else {
            not_run(id, "the bundle in force has no such ledger", out);
            return;
        };
        self.timers.arm(dispatch.deadline, Timer::Dispatch(id));
        let reason = "no replica takes work";
        let state =
            DispatchState { dispatch, upstream, attempt: None, tried: SmallVec::new(), reason };
        self.dispatches.insert(id, state);
        self.send_action(now, id, out);
    }

    /// Sends an action that no replica has run, or ends it.
    fn send_action(&mut self, now: Time, id: DispatchId, out: &mut Vec<Action>) {
        let Some(state) = self.dispatches.get(&id) else { return };
        if state.dispatch.deadline <= now {
            self.dispatches.remove(&id);
            not_run(id, "the deadline passed before the action was sent", out);
            return;
        }
        let candidates = self.replicas.members(state.upstream);
        let chosen = choice::uniform(&mut self.rng, &self.replicas, candidates, &state.tried);
        let begun = chosen.and_then(|replica| {
            let attempt = Attempt { owner: Owner::Dispatch(id), replica };
            Some((replica, self.begin_attempt(attempt)?))
        });
        let Some((key, attempt)) = begun else {
            let reason = self.dispatches.remove(&id).map_or("", |it| it.reason);
            not_run(id, reason, out);
            return;
        };
        let Some(state) = self.dispatches.get_mut(&id) else { return };
        state.attempt = Some(attempt);
        state.tried.push(key);
        self.counters.action_sends += 1;
        if let Some(replica) = self.replicas.get(key) {
            out.push(Action::SendAction(SendAction {
                attempt,
                dispatch: id,
                replica: replica.id.clone(),
                addr: replica.addr,
                deadline: state.dispatch.deadline,
            }));
        }
    }

    pub(crate) fn dispatch_outcome(
        &mut self,
        now: Time,
        id: DispatchId,
        attempt: Attempt,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let unknown = match outcome {
            AttemptOutcome::ActionReply(result) => {
                self.end_dispatch(id, ActionOutcome::Done { result }, out);
                return;
            }
            AttemptOutcome::NotSent => {
                self.resend(now, id, "no replica could be reached", out);
                return;
            }
            AttemptOutcome::Refused { error, .. } if error != UpstreamErrorKind::Failed => {
                if error == UpstreamErrorKind::Draining {
                    self.replicas.drain(attempt.replica);
                }
                self.resend(now, id, refusal_reason(error), out);
                return;
            }
            AttemptOutcome::Refused { .. } => "the replica failed while it ran the action",
            AttemptOutcome::Disconnected => "the connection broke after the action was sent",
            AttemptOutcome::TimedOut => "no reply came before the deadline",
            AttemptOutcome::Reply(_) => "the replica sent a reply of another kind",
        };
        self.end_dispatch(id, ActionOutcome::Unknown { reason: unknown.into() }, out);
    }

    pub(crate) fn dispatch_timer(&mut self, now: Time, id: DispatchId, out: &mut Vec<Action>) {
        let Some(state) = self.dispatches.get(&id) else { return };
        if state.dispatch.deadline > now {
            return;
        }
        let Some(attempt) = state.attempt else { return };
        self.end_attempt(attempt);
        out.push(Action::Cancel { attempt });
        let reason = "no reply came before the deadline".into();
        self.end_dispatch(id, ActionOutcome::Unknown { reason }, out);
    }

    fn resend(&mut self, now: Time, id: DispatchId, reason: &'static str, out: &mut Vec<Action>) {
        let Some(state) = self.dispatches.get_mut(&id) else { return };
        state.attempt = None;
        state.reason = reason;
        self.send_action(now, id, out);
    }

    fn end_dispatch(&mut self, id: DispatchId, outcome: ActionOutcome, out: &mut Vec<Action>) {
        if self.dispatches.remove(&id).is_some() {
            out.push(Action::Dispatched { dispatch: id, outcome });
        }
    }
}

fn not_run(dispatch: DispatchId, reason: &str, out: &mut Vec<Action>) {
    let outcome = ActionOutcome::NotRun { reason: reason.into() };
    out.push(Action::Dispatched { dispatch, outcome });
}

fn refusal_reason(error: UpstreamErrorKind) -> &'static str {
    match error {
        UpstreamErrorKind::Shed => "every replica shed the action",
        UpstreamErrorKind::Draining | UpstreamErrorKind::Cold => "no replica takes work",
        UpstreamErrorKind::Expired => "the deadline passed before a replica began",
        _ => "every replica refused the action",
    }
}
