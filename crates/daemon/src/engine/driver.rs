use rosemarybank_protocol::{id::Time, upstream::ShardRequest};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, Event, Send, SendAction},
    settings::Settings,
};

use super::texts::{ActionInEngine, SearchInEngine, Texts, describe};
use crate::{
    message::{ControlToEngine, EngineToControl, EngineToFront, EngineToUpstreams, FrontToEngine},
    telemetry::{Hop, Record, Recorder, Span},
};

/// Messages that the engine thread has to send.
#[derive(Debug, Default)]
pub struct Outgoing {
    /// To the front.
    pub front: Vec<EngineToFront>,
    /// To the upstreams.
    pub upstreams: Vec<EngineToUpstreams>,
    /// To control.
    pub control: Vec<EngineToControl>,
}

/// Translates between messages of the other threads and the engine's events and actions.
pub struct Driver {
    engine: Engine,
    texts: Texts,
    actions: Vec<Action>,
    recorder: Recorder,
}

impl Driver {
    /// Wraps an engine.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, recorder: Recorder) -> Driver {
        let engine = Engine::new(settings, seed);
        Driver { engine, texts: Texts::default(), actions: Vec::new(), recorder }
    }

    /// The engine, for its views.
    #[must_use]
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Whether every key of every search service of the bundle has a replica.
    #[must_use]
    pub fn is_served(&mut self) -> bool {
        self.engine.has_complete_coverage()
    }

    /// Takes a message of the front.
    pub fn front(&mut self, now: Time, message: FrontToEngine, out: &mut Outgoing) {
        match message {
            FrontToEngine::Submit { submission, payload } => {
                let trace = payload.trace.child();
                let search = SearchInEngine { text: payload, trace, start: now };
                self.texts.searches.insert(submission.query, search);
                self.event(now, Event::Submit(submission), out);
            }
            FrontToEngine::CallerGone { query } => {
                self.event(now, Event::CallerGone { query }, out);
                self.end_search(now, query, "the caller hung up");
            }
        }
    }

    /// Takes a message of control.
    pub fn control(&mut self, now: Time, message: ControlToEngine, out: &mut Outgoing) {
        match message {
            ControlToEngine::Event(event) => self.event(now, event, out),
            ControlToEngine::Dispatch { dispatch, action, trace } => {
                let action = ActionInEngine { action, trace: trace.child(), start: now };
                self.texts.actions.insert(dispatch.dispatch, action);
                self.event(now, Event::Dispatch(dispatch), out);
            }
        }
    }

    /// Feeds an event and collects the messages that follow from it.
    pub fn event(&mut self, now: Time, event: Event, out: &mut Outgoing) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(now, action, out);
        }
        self.actions = actions;
    }

    fn perform(&mut self, now: Time, action: Action, out: &mut Outgoing) {
        match action {
            Action::Send(send) => out.upstreams.extend(self.search(send)),
            Action::SendAction(send) => out.upstreams.extend(self.act(send)),
            Action::Cancel { attempt } => out.upstreams.push(EngineToUpstreams::Cancel { attempt }),
            Action::Answer { query, answer } => {
                self.end_search(now, query, describe(&answer));
                out.front.push(EngineToFront { query, answer });
            }
            Action::Dispatched { dispatch, outcome } => {
                self.end_action(now, dispatch);
                out.control.push(EngineToControl::Dispatched { dispatch, outcome });
            }
            Action::Poll { replica, addr } => {
                out.upstreams.push(EngineToUpstreams::Poll { replica, addr });
            }
            Action::Quarantine { service, fingerprint, crashes, quarantine } => {
                let duration = quarantine;
                out.control.push(EngineToControl::Condemn {
                    service,
                    fingerprint,
                    crashes,
                    duration,
                });
            }
        }
    }

    fn search(&self, send: Send) -> Option<EngineToUpstreams> {
        let SearchInEngine { text, trace, .. } = self.texts.searches.get(&send.query)?;
        let request = ShardRequest {
            service: text.service.clone(),
            snapshot: send.snapshot,
            range: send.range,
            query: text.query.clone(),
            limit: text.limit,
        };
        let Send { attempt, replica, addr, deadline, .. } = send;
        let trace = trace.child();
        Some(EngineToUpstreams::Search { attempt, replica, addr, request, deadline, trace })
    }

    fn act(&self, send: SendAction) -> Option<EngineToUpstreams> {
        let ActionInEngine { action, trace, .. } = self.texts.actions.get(&send.dispatch)?;
        let SendAction { attempt, replica, addr, deadline, .. } = send;
        let (action, trace) = (action.clone(), trace.child());
        Some(EngineToUpstreams::Act { attempt, replica, addr, action, deadline, trace })
    }

    fn end_search(&mut self, now: Time, query: u64, detail: &str) {
        if let Some(SearchInEngine { trace, start, .. }) = self.texts.searches.remove(&query) {
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

    fn end_action(&mut self, now: Time, dispatch: u64) {
        if let Some(ActionInEngine { trace, start, .. }) = self.texts.actions.remove(&dispatch) {
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
