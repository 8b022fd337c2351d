use rosemarybank_protocol::id::Time;
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, Event, Send, SendAction},
    settings::Settings,
};
use rosemarybank_transport::upstream::ShardCall;

use super::payloads::{Payloads, PendingAction, PendingSearch, result_label};
use crate::{
    message::{ControlToEngine, EngineToControl, EngineToFront, EngineToUpstreams, FrontToEngine},
    telemetry::{Hop, Record, Recorder, Span},
};

/// Messages to send to the other threads.
#[derive(Debug, Default)]
pub struct Outgoing {
    /// Messages to `front`.
    pub front: Vec<EngineToFront>,
    /// Messages to the upstreams threads.
    pub upstreams: Vec<EngineToUpstreams>,
    /// Messages to `control`.
    pub control: Vec<EngineToControl>,
}

/// Converts messages of the other threads to events of the engine, and the engine's actions to
/// messages.
pub struct Driver {
    engine: Engine,
    payloads: Payloads,
    actions: Vec<Action>,
    recorder: Recorder,
}

impl Driver {
    /// Creates an engine and its driver.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, recorder: Recorder) -> Driver {
        let engine = Engine::new(settings, seed);
        Driver { engine, payloads: Payloads::default(), actions: Vec::new(), recorder }
    }

    /// Returns the engine, for reading its state.
    #[must_use]
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Returns whether every key of every search service of the bundle has a replica.
    #[must_use]
    pub fn all_keys_covered(&mut self) -> bool {
        self.engine.has_complete_coverage()
    }

    /// Handles a message from `front`.
    pub fn handle_front(&mut self, now: Time, message: FrontToEngine, out: &mut Outgoing) {
        match message {
            FrontToEngine::Submit { submission, payload } => {
                let trace = payload.trace.child();
                let search = PendingSearch { payload, trace, start: now };
                self.payloads.searches.insert(submission.query, search);
                self.handle_event(now, Event::Submit(submission), out);
            }
            FrontToEngine::CallerGone { query } => {
                self.handle_event(now, Event::CallerGone { query }, out);
                self.end_search(now, query, "the caller hung up");
            }
        }
    }

    /// Handles a message from `control`.
    pub fn handle_control(&mut self, now: Time, message: ControlToEngine, out: &mut Outgoing) {
        match message {
            ControlToEngine::Event(event) => self.handle_event(now, event, out),
            ControlToEngine::Dispatch { dispatch, action, trace } => {
                let action = PendingAction { action, trace: trace.child(), start: now };
                self.payloads.actions.insert(dispatch.dispatch, action);
                self.handle_event(now, Event::Dispatch(dispatch), out);
            }
        }
    }

    /// Passes an event to the engine and collects the resulting messages.
    pub fn handle_event(&mut self, now: Time, event: Event, out: &mut Outgoing) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, action, out);
        }
        self.actions = actions;
    }

    /// Executes an action of the engine.
    fn execute(&mut self, now: Time, action: Action, out: &mut Outgoing) {
        match action {
            Action::Send(send) => out.upstreams.extend(self.search_message(send)),
            Action::SendAction(send) => out.upstreams.extend(self.action_message(send)),
            Action::Cancel { attempt } => out.upstreams.push(EngineToUpstreams::Cancel { attempt }),
            Action::Answer { query, answer } => {
                self.end_search(now, query, result_label(&answer));
                out.front.push(EngineToFront { query, answer });
            }
            Action::Dispatched { dispatch, outcome } => {
                self.end_action(now, dispatch);
                out.control.push(EngineToControl::Dispatched { dispatch, outcome });
            }
            Action::Poll { replica, addr } => {
                out.upstreams.push(EngineToUpstreams::PollStatus { replica, addr });
            }
            Action::Quarantine { service, fingerprint, crashes, quarantine } => {
                let duration = quarantine;
                out.control.push(EngineToControl::Quarantine {
                    service,
                    fingerprint,
                    crashes,
                    duration,
                });
            }
        }
    }

    /// Builds the message that sends a search attempt; `None` when the search has ended.
    fn search_message(&self, send: Send) -> Option<EngineToUpstreams> {
        let PendingSearch { payload, trace, .. } = self.payloads.searches.get(&send.query)?;
        let request = ShardCall {
            service: payload.service.clone(),
            snapshot: send.snapshot,
            range: send.range,
            query: payload.query.clone(),
            limit: payload.limit,
        };
        let Send { attempt, replica, addr, deadline, .. } = send;
        let trace = trace.child();
        Some(EngineToUpstreams::Search { attempt, replica, addr, request, deadline, trace })
    }

    /// Builds the message that sends an action attempt; `None` when the action has ended.
    fn action_message(&self, send: SendAction) -> Option<EngineToUpstreams> {
        let PendingAction { action, trace, .. } = self.payloads.actions.get(&send.dispatch)?;
        let SendAction { attempt, replica, addr, deadline, .. } = send;
        let (action, trace) = (action.clone(), trace.child());
        Some(EngineToUpstreams::Action { attempt, replica, addr, action, deadline, trace })
    }

    /// Drops the payload of a search and records its span.
    fn end_search(&mut self, now: Time, query: u64, detail: &str) {
        if let Some(PendingSearch { trace, start, .. }) = self.payloads.searches.remove(&query) {
            let detail = detail.into();
            self.recorder.record(Record::Span(Span {
                trace,
                hop: Hop::Engine,
                start,
                end: now,
                detail,
            }));
        }
    }

    /// Drops the payload of an action and records its span.
    fn end_action(&mut self, now: Time, dispatch: u64) {
        if let Some(PendingAction { trace, start, .. }) = self.payloads.actions.remove(&dispatch) {
            let detail = "action".into();
            self.recorder.record(Record::Span(Span {
                trace,
                hop: Hop::Engine,
                start,
                end: now,
                detail,
            }));
        }
    }
}
