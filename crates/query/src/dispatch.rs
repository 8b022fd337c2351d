//! Sends one-time actions. Only one attempt is in flight at a time, and another follows only if the
//! last one certainly did not run.

use rosemarybank_protocol::{prelude::*, upstream::UpstreamErrorKind};
use smallvec::SmallVec;

use crate::{
    attempts::{Attempt, Owner},
    engine::Engine,
    interface::{Action, AttemptId, AttemptOutcome, Dispatch, DispatchId, SendAction, SendKind},
    latency::micros,
    replica_choice::ReplicaChooser,
    replicas::{ReplicaKey, UpstreamIndex},
    settings::Policy,
    timers::Timer,
};

/// An action in progress.
#[derive(Debug)]
pub(crate) struct DispatchState {
    dispatch: Dispatch,
    upstream: UpstreamIndex,
    attempt: Option<AttemptId>,
    tried: SmallVec<[ReplicaKey; 4]>,
    /// Why no attempt has run the action so far, for the outcome.
    reason: &'static str,
}

impl Engine {
    pub(crate) fn dispatch(&mut self, now: Time, dispatch: Dispatch, out: &mut Vec<Action>) {
        let id = dispatch.dispatch;
        if self.dispatches.contains_key(&id) {
            return;
        }
        let service = self.replicas.services.find(&dispatch.service);
        let settings = service.and_then(|it| self.services.get(&it));
        let Some(upstream) = settings.and_then(|it| it.ledger) else {
            not_run(id, "the bundle in force has no such ledger", out);
            return;
        };
        self.timers.arm(dispatch.deadline, Timer::Dispatch(id));
        let reason = "no replica takes work";
        let state =
            DispatchState { dispatch, upstream, attempt: None, tried: SmallVec::new(), reason };
        self.dispatches.insert(id, state);
        self.send_action(now, id, SendKind::First, out);
    }

    /// Sends an action that no replica has run, or ends it as not run.
    fn send_action(&mut self, now: Time, id: DispatchId, kind: SendKind, out: &mut Vec<Action>) {
        let Some(state) = self.dispatches.get(&id) else { return };
        if state.dispatch.deadline <= now {
            self.dispatches.remove(&id);
            not_run(id, "the deadline passed before the action was sent", out);
            return;
        }
        let upstream = state.upstream;
        let pool = self.replicas.members(upstream);
        let mut chooser = ReplicaChooser {
            now,
            rng: &mut self.rng,
            replicas: &self.replicas,
            upstreams: &self.upstreams,
            cross_data_centre_us: micros(self.settings.cross_data_centre_penalty),
            required_snapshot: None,
        };
        // Chosen like a retry, so that an action goes to an ejected replica only if every untried
        // replica that takes work is avoided.
        let chosen = match self.settings.policy {
            Policy::Adaptive => chooser.pick_balanced(pool, &state.tried, SendKind::Retry),
            Policy::Baseline => chooser.pick_uniform(pool, &state.tried),
        };
        let chosen = chosen.filter(|key| kind == SendKind::First || self.take_retry_token(*key));
        let sent = chosen.and_then(|replica| {
            let attempt = Attempt { owner: Owner::Dispatch(id), replica, sent: now };
            Some((replica, self.begin_attempt(attempt)?))
        });
        if kind == SendKind::First {
            self.upstreams
                .get_mut(upstream)
                .retry_budget
                .deposit_percent(self.limits.retry_percent);
        }
        let Some((key, attempt)) = sent else {
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

    pub(crate) fn handle_dispatch_outcome(
        &mut self,
        now: Time,
        id: DispatchId,
        attempt: Attempt,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let unknown = match outcome {
            AttemptOutcome::ActionReply(result) => {
                let took = now.saturating_sub(attempt.sent);
                self.upstreams.record_reply(now, &mut self.replicas, attempt.replica, took);
                self.end_dispatch(id, ActionOutcome::Done { result }, out);
                return;
            }
            AttemptOutcome::NotSent => {
                self.record_connection_loss(now, attempt.replica);
                self.resend(now, id, "no replica could be reached", out);
                return;
            }
            AttemptOutcome::Refused { error, .. } if error != UpstreamErrorKind::Failed => {
                self.record_unavailable(now, attempt.replica, error);
                self.resend(now, id, refusal_reason(error), out);
                return;
            }
            AttemptOutcome::Refused { .. } => "the replica failed while it ran the action",
            AttemptOutcome::Disconnected => {
                self.record_connection_loss(now, attempt.replica);
                "the connection broke after the action was sent"
            }
            AttemptOutcome::TimedOut => {
                self.record_timeout(now, attempt);
                "no reply came before the deadline"
            }
            AttemptOutcome::Reply(_) => "the replica sent a reply of another kind",
        };
        self.end_dispatch(id, ActionOutcome::Unknown { reason: unknown.into() }, out);
    }

    pub(crate) fn handle_dispatch_timer(
        &mut self,
        now: Time,
        id: DispatchId,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.dispatches.get(&id) else { return };
        if state.dispatch.deadline > now {
            return;
        }
        let Some(attempt) = state.attempt else { return };
        self.cancel_attempt(now, attempt, out);
        let reason = "no reply came before the deadline".into();
        self.end_dispatch(id, ActionOutcome::Unknown { reason }, out);
    }

    /// Sends the action again after an attempt that did not run.
    fn resend(&mut self, now: Time, id: DispatchId, reason: &'static str, out: &mut Vec<Action>) {
        let Some(state) = self.dispatches.get_mut(&id) else { return };
        state.attempt = None;
        state.reason = reason;
        self.send_action(now, id, SendKind::Retry, out);
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
