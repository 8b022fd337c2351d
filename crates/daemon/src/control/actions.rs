use std::{cell::RefCell, collections::HashMap, rc::Rc};

use compact_str::format_compact;
use futures_util::{StreamExt, stream::FuturesUnordered};
use rosemarybank_coordination::claim::{Action, Answer, Event, Machine, Spec};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::{Dispatch, DispatchId};
use slog::warn;
use tokio::{sync::oneshot, time::sleep_until};
use tokio_util::task::TaskTracker;

use super::{
    claim_store::{claim_path, execute_store_call},
    shared::Shared,
};
use crate::{
    in_flight::InFlightRequest,
    message::{ActionSubmission, ControlToEngine, ControlToFront},
    telemetry::{Gauge, Hop, Record, Span},
};

/// Runs the claim state machine of each action in a task of its own. Clones share the actions.
#[derive(Clone)]
pub(super) struct ActionRunner {
    shared: Rc<Shared>,
    outcome_senders: Rc<RefCell<HashMap<DispatchId, oneshot::Sender<ActionOutcome>>>>,
    tracker: TaskTracker,
}

impl ActionRunner {
    /// Creates a runner without actions.
    pub(super) fn new(shared: Rc<Shared>) -> ActionRunner {
        ActionRunner { shared, outcome_senders: Rc::default(), tracker: TaskTracker::new() }
    }

    /// Starts an action.
    pub(super) fn start(&self, request: ActionSubmission) {
        let (tx, rx) = oneshot::channel();
        self.outcome_senders.borrow_mut().insert(request.id, tx);
        let this = self.clone();
        self.tracker.spawn_local(async move {
            let id = request.id;
            this.run(request, rx).await;
            this.outcome_senders.borrow_mut().remove(&id);
            this.report_in_progress();
        });
        self.report_in_progress();
    }

    /// Passes the engine's outcome of a dispatched action to the task of the action.
    pub(super) fn deliver_outcome(&self, dispatch: DispatchId, outcome: ActionOutcome) {
        let sender = self.outcome_senders.borrow_mut().remove(&dispatch);
        let is_delivered = sender.is_some_and(|tx| tx.send(outcome).is_ok());
        if !is_delivered {
            warn!(self.shared.log, "the outcome of an unknown action arrived";
                "dispatch" => dispatch);
        }
    }

    /// Returns the number of actions in progress, including those that are already answered and
    /// only record their outcome.
    pub(super) fn in_progress(&self) -> usize {
        self.tracker.len()
    }

    /// Waits until no action is in progress. No action may be started after this call.
    pub(super) async fn wait_until_idle(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Runs the claim state machine of an action until it is finished.
    async fn run(&self, request: ActionSubmission, mut outcome: oneshot::Receiver<ActionOutcome>) {
        let shared = &self.shared;
        let start = shared.clock.now();
        // Kept after the caller is answered, because the outcome may still have to be recorded.
        let _in_flight = shared.in_flight.track(InFlightRequest {
            description: format_compact!("claim of {} {}", request.caller, request.action.key),
            trace: request.trace,
            arrived_at: start,
        });
        let path: Rc<str> = claim_path(&request.caller, &request.action.key).into();
        let mut machine = Machine::new(self.claim_spec(&request));
        let mut calls = FuturesUnordered::new();
        let mut event = Event::Start;
        let mut awaits_outcome = false;
        let mut out = Vec::new();
        loop {
            machine.handle(shared.clock.now(), event, &mut out);
            for action in out.drain(..) {
                match action {
                    Action::Dispatch { deadline } => {
                        awaits_outcome = true;
                        self.dispatch(&request, deadline);
                    }
                    Action::Answer(answer) => self.send_answer(&request, start, answer),
                    store_action => {
                        calls.push(execute_store_call(
                            Rc::clone(shared),
                            Rc::clone(&path),
                            store_action,
                        ));
                    }
                }
            }
            if machine.is_finished() {
                return;
            }
            let wakeup = machine.next_wakeup().map(|at| shared.clock.instant_at(at));
            let tick = async {
                match wakeup {
                    Some(at) => sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            event = tokio::select! {
                Some(Some((call, reply))) = calls.next() => Event::Store { call, reply },
                result = &mut outcome, if awaits_outcome => {
                    awaits_outcome = false;
                    Event::Dispatched(result.unwrap_or_else(|_| ActionOutcome::Unknown {
                        reason: "the engine stopped before the action ended".into(),
                    }))
                }
                () = tick => Event::Tick,
            };
        }
    }

    fn claim_spec(&self, request: &ActionSubmission) -> Spec {
        Spec::builder()
            .owner(self.shared.settings.instance.clone())
            .nonce(fastrand::u64(..))
            .fingerprint(request.fingerprint)
            .deadline(request.deadline)
            .build()
    }

    fn dispatch(&self, request: &ActionSubmission, deadline: Time) {
        let service = request.action.service.clone();
        let dispatch = Dispatch { dispatch: request.id, service, deadline };
        let (action, trace) = (request.action.clone(), request.trace);
        self.shared.engine.send(ControlToEngine::Dispatch { dispatch, action, trace });
    }

    /// Sends the answer for the caller to `front` and records the span of the claim.
    fn send_answer(&self, request: &ActionSubmission, start: Time, answer: Answer) {
        let detail = match &answer {
            Answer::Done { .. } => "done",
            Answer::NotRun { .. } => "not run",
            Answer::Unknown { .. } => "outcome unknown",
            Answer::KeyConflict => "key conflict",
        };
        if let Answer::Unknown { reason } = &answer {
            warn!(self.shared.log, "the outcome of an action is unknown";
                "caller" => %request.caller, "key" => %request.action.key, "reason" => %reason,
                "trace_id" => %request.trace.trace_id_hex());
        }
        let (trace, end) = (request.trace.child(), self.shared.clock.now());
        let span = Span { trace, hop: Hop::Claim, start, end, detail: detail.into() };
        self.shared.recorder.record(Record::Span(span));
        self.shared.front.send(ControlToFront::ActionFinished { id: request.id, answer });
    }

    fn report_in_progress(&self) {
        self.shared.record_gauge(Gauge::ActionsInFlight, self.in_progress() as u64);
    }
}
