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
    claims::{path_of, store_call},
    shared::Shared,
};
use crate::{
    in_flight::InFlightRequest,
    message::{ActionSubmission, ControlToEngine, ControlToFront},
    telemetry::{Gauge, Hop, Record, Span},
};

/// Actions in progress. Clones share them.
#[derive(Clone)]
pub(super) struct Actions {
    shared: Rc<Shared>,
    dispatched: Rc<RefCell<HashMap<DispatchId, oneshot::Sender<ActionOutcome>>>>,
    tracker: TaskTracker,
}

impl Actions {
    /// No action is in progress yet.
    pub(super) fn new(shared: Rc<Shared>) -> Actions {
        Actions { shared, dispatched: Rc::default(), tracker: TaskTracker::new() }
    }

    /// Begins an action.
    pub(super) fn start(&self, request: ActionSubmission) {
        let (tx, rx) = oneshot::channel();
        self.dispatched.borrow_mut().insert(request.id, tx);
        let this = self.clone();
        self.tracker.spawn_local(async move {
            let id = request.id;
            this.run(request, rx).await;
            this.dispatched.borrow_mut().remove(&id);
            this.report();
        });
        self.report();
    }

    /// Takes the engine's report on a dispatched action.
    pub(super) fn dispatched(&self, dispatch: DispatchId, outcome: ActionOutcome) {
        let waiting = self.dispatched.borrow_mut().remove(&dispatch);
        let told = waiting.is_some_and(|tx| tx.send(outcome).is_ok());
        if !told {
            warn!(self.shared.log, "the outcome of an unknown action arrived"; "dispatch" => dispatch);
        }
    }

    /// Number of actions in progress, including those that only record their outcome.
    pub(super) fn len(&self) -> usize {
        self.tracker.len()
    }

    /// Waits until no action is in progress. No action may be started after that.
    pub(super) async fn finished(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    async fn run(&self, request: ActionSubmission, mut outcome: oneshot::Receiver<ActionOutcome>) {
        let shared = &self.shared;
        let start = shared.clock.now();
        // Kept after the caller has its answer, because the outcome may still have to be recorded.
        let _in_flight = shared.in_flight.track(InFlightRequest {
            description: format_compact!("claim of {} {}", request.caller, request.action.key),
            trace: request.trace,
            arrived_at: start,
        });
        let path: Rc<str> = path_of(&request.caller, &request.action.key).into();
        let mut machine = Machine::new(self.spec(&request));
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
                    Action::Answer(answer) => self.answer(&request, start, answer),
                    store => calls.push(store_call(Rc::clone(shared), Rc::clone(&path), store)),
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
                told = &mut outcome, if awaits_outcome => {
                    awaits_outcome = false;
                    Event::Dispatched(told.unwrap_or_else(|_| ActionOutcome::Unknown {
                        reason: "the engine stopped before the action ended".into(),
                    }))
                }
                () = tick => Event::Tick,
            };
        }
    }

    fn spec(&self, request: &ActionSubmission) -> Spec {
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

    fn answer(&self, request: &ActionSubmission, start: Time, answer: Answer) {
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

    fn report(&self) {
        self.shared.gauge(Gauge::ActionsInFlight, self.len() as u64);
    }
}
