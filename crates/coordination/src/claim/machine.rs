//! Acquires a claim, dispatches the action at most once and answers the caller.

use rosemarybank_protocol::{
    platform::{Claim, ClaimState},
    prelude::*,
};
use serde::{Deserialize, Serialize};

use super::{
    Action, Answer, CallId, Etag, Event, NotRunCause, Spec, StoreReply,
    step::{Operation, Precondition, Step},
};

/// State machine of one action request.
///
/// It dispatches the action at most once: after the store has confirmed the claim of this request,
/// before the deadline, and before the caller is answered.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::claim::{Action, Answer, Event, Machine, Spec, StoreReply};
/// use rosemarybank_protocol::prelude::*;
///
/// let spec = Spec::builder()
///     .owner("entry-1")
///     .nonce(7)
///     .fingerprint(1)
///     .deadline(Time::from_millis(800))
///     .build();
/// let (now, mut out) = (Time::ZERO, Vec::new());
/// let mut machine = Machine::new(spec);
/// machine.handle(now, Event::Start, &mut out);
/// let Some(Action::Create { call, .. }) = out.pop() else { panic!() };
/// let reply = StoreReply::Created { etag: "1".into() };
/// machine.handle(now, Event::Store { call, reply }, &mut out);
/// assert_eq!(out.pop(), Some(Action::Dispatch { deadline: Time::from_millis(800) }));
///
/// let done = ActionOutcome::Done { result: "lot 12".into() };
/// machine.handle(now, Event::Dispatched(done), &mut out);
/// let Some(Action::Update { call, .. }) = out.pop() else { panic!() };
/// let reply = StoreReply::Updated { etag: "2".into() };
/// machine.handle(now, Event::Store { call, reply }, &mut out);
/// assert_eq!(out.pop(), Some(Action::Answer(Answer::Done { result: "lot 12".into() })));
/// assert!(machine.is_finished());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    pub(super) spec: Spec,
    pub(super) step: Step,
    pub(super) next_call: CallId,
    /// Store calls without a usable reply, counted until the caller is answered. Reset when the
    /// query engine reports the outcome.
    pub(super) failures: u32,
    /// Store calls made after the caller was answered.
    pub(super) background_calls: u32,
    /// Whether the caller was answered.
    pub(super) answered: bool,
    /// Whether the answer to the caller was that the outcome is unknown.
    #[serde(rename = "told_unknown")]
    pub(super) answered_unknown: bool,
    /// Whether the store may contain the claim of another request whose action may have been sent.
    pub(super) other_claim_possible: bool,
    /// Precondition of a write of this request whose reply was lost, while it may still be applied.
    #[serde(rename = "uncertain")]
    pub(super) unconfirmed_write: Option<Precondition>,
}

impl Machine {
    /// Creates the machine of one request. It is inactive until [`Event::Start`].
    #[must_use]
    pub fn new(spec: Spec) -> Machine {
        Machine {
            spec,
            step: Step::New,
            next_call: 0,
            failures: 0,
            background_calls: 0,
            answered: false,
            answered_unknown: false,
            other_claim_possible: false,
            unconfirmed_write: None,
        }
    }

    /// Returns whether all work is done, so that the driver can drop the machine.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.step == Step::Finished
    }

    /// Returns whether the caller was answered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Returns the time at which the driver must send the next [`Event::Tick`], if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        let pause = match &self.step {
            Step::New | Step::Finished => return None,
            Step::Pause { until, .. } => Some(*until),
            Step::Call { .. } | Step::Dispatched { .. } => None,
        };
        let answer_deadline = (!self.answered).then(|| self.answer_deadline());
        pause.into_iter().chain(answer_deadline).min()
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start if self.step == Step::New => self.start(now, out),
            Event::Store { call, reply } => {
                if let Some(operation) = self.step.take_call(call) {
                    self.on_reply(now, operation, reply, out);
                }
            }
            Event::Dispatched(outcome) => self.on_dispatched(outcome, out),
            Event::Start | Event::Tick => {}
        }
        if let Some(operation) = self.step.take_due(now) {
            self.call(operation, out);
        }
        if !self.answered && self.step != Step::New && now >= self.answer_deadline() {
            self.on_deadline(out);
        }
    }

    /// Returns the time by which the caller must be answered.
    fn answer_deadline(&self) -> Time {
        match self.step {
            Step::Dispatched { .. } => self.spec.deadline + self.spec.settings.dispatch_grace,
            _ => self.spec.deadline,
        }
    }

    fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        if now >= self.spec.deadline {
            self.step = Step::Finished;
            self.answer(Answer::NotRun { cause: NotRunCause::Deadline }, out);
            return;
        }
        self.call(Operation::Create, out);
    }

    fn on_reply(
        &mut self,
        now: Time,
        operation: Operation,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        match operation {
            Operation::Create | Operation::Reacquire { .. } if self.answered => {
                self.on_late_reply(operation, reply, out)
            }
            Operation::Create => self.on_acquire(now, Precondition::Absent, reply, out),
            Operation::Reacquire { etag } => {
                self.on_acquire(now, Precondition::Tag(etag), reply, out)
            }
            Operation::Inspect => self.on_inspect(now, Operation::Inspect, None, reply, out),
            Operation::Wait { after } => {
                let operation = Operation::Wait { after: after.clone() };
                self.on_inspect(now, operation, Some(after), reply, out);
            }
            Operation::Record { outcome, precondition } => {
                self.on_record(now, outcome, precondition, reply, out)
            }
            Operation::RecordInspect { outcome, precondition } => {
                self.on_record_inspect(now, outcome, precondition, reply, out);
            }
        }
    }

    /// Handles the reply to the conditional create, or to the update from `NotRun` to `Sending`.
    fn on_acquire(
        &mut self,
        now: Time,
        precondition: Precondition,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            StoreReply::Created { etag } | StoreReply::Updated { etag } => {
                self.on_claim_confirmed(now, etag, out);
            }
            StoreReply::Lost => {
                self.unconfirmed_write = Some(precondition);
                self.retry(now, Operation::Inspect, out);
            }
            StoreReply::Failed => {
                let operation = precondition.acquire_operation();
                self.retry(now, operation, out);
            }
            // Either another request holds the claim, or a lost write of this request was applied.
            StoreReply::Conflict | StoreReply::Missing | StoreReply::Found { .. } => {
                self.other_claim_possible = true;
                self.call(Operation::Inspect, out);
            }
        }
    }

    /// Dispatches the action after the store confirmed the claim of this request. If the deadline has
    /// passed, for example because the process was paused, the claim is released instead.
    fn on_claim_confirmed(&mut self, now: Time, etag: Etag, out: &mut Vec<Action>) {
        self.unconfirmed_write = None;
        self.other_claim_possible = false;
        if self.answered || now >= self.spec.deadline {
            if !self.answered {
                self.answer(Answer::NotRun { cause: NotRunCause::Deadline }, out);
            }
            self.record(self.release_outcome(), Precondition::Tag(etag), out);
            return;
        }
        self.step = Step::Dispatched { etag };
        out.push(Action::Dispatch { deadline: self.spec.deadline });
    }

    /// Handles the reply to a read of, or a wait for, a claim that may belong to another request.
    /// `known` is the entity tag that a wait started from. If the wait ended without a change, the
    /// next one starts after a delay.
    fn on_inspect(
        &mut self,
        now: Time,
        operation: Operation,
        known: Option<Etag>,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        let (claim, etag) = match reply {
            StoreReply::Found { claim, etag } => (claim, etag),
            StoreReply::Missing => {
                self.other_claim_possible = false;
                return self.call(Operation::Create, out);
            }
            _ => return self.retry(now, operation, out),
        };
        if self.unconfirmed_write.as_ref().is_some_and(|it| *it != Precondition::Tag(etag.clone()))
            && !self.is_own_claim(&claim)
        {
            // The object has changed since, so the precondition of the lost write can never hold.
            self.unconfirmed_write = None;
        }
        if claim.fingerprint != self.spec.fingerprint {
            self.step = Step::Finished;
            return self.answer(Answer::KeyConflict, out);
        }
        match claim.state {
            ClaimState::Sending { .. } if self.is_own_claim(&claim) => {
                self.on_claim_confirmed(now, etag, out)
            }
            ClaimState::Sending { .. } => {
                self.other_claim_possible = true;
                let operation = Operation::Wait { after: etag.clone() };
                if known.as_ref() == Some(&etag) {
                    let until = now + self.spec.settings.retry_after;
                    self.step = Step::Pause { until, operation };
                    return;
                }
                self.call(operation, out);
            }
            ClaimState::Ended { outcome: ActionOutcome::NotRun { .. } } => {
                self.other_claim_possible = false;
                self.call(Operation::Reacquire { etag }, out);
            }
            ClaimState::Ended { outcome } => {
                self.step = Step::Finished;
                self.answer(answer_from_outcome(outcome), out);
            }
        }
    }

    fn on_dispatched(&mut self, outcome: ActionOutcome, out: &mut Vec<Action>) {
        let Step::Dispatched { etag } = &self.step else { return };
        let precondition = Precondition::Tag(etag.clone());
        self.failures = 0;
        // A caller whose answer was `Unknown` may resolve the action by other means, so a retry with
        // the same key must not execute it afterwards.
        let outcome = match outcome {
            ActionOutcome::NotRun { reason } if self.answered_unknown => {
                ActionOutcome::Unknown { reason }
            }
            other => other,
        };
        self.record(outcome, precondition, out);
    }

    /// Answers the caller because the deadline was reached.
    fn on_deadline(&mut self, out: &mut Vec<Action>) {
        match &self.step {
            Step::Dispatched { .. } => {
                let reason = "no outcome arrived before the deadline".into();
                self.answer(Answer::Unknown { reason }, out);
            }
            Step::Call { operation, .. } | Step::Pause { operation, .. } => {
                match operation.outcome() {
                    Some(outcome) => {
                        let answer = answer_from_outcome(outcome.clone());
                        self.answer(answer, out);
                    }
                    None => self.give_up(NotRunCause::Deadline, out),
                }
            }
            Step::New | Step::Finished => {}
        }
    }

    /// Answers a request that was not dispatched and ensures that its claim is released.
    pub(super) fn give_up(&mut self, cause: NotRunCause, out: &mut Vec<Action>) {
        let answer = if self.other_claim_possible {
            Answer::Unknown { reason: "another request with this key may have been sent".into() }
        } else {
            Answer::NotRun { cause }
        };
        self.answer(answer, out);
        if let Step::Call { operation: Operation::Create | Operation::Reacquire { .. }, .. } =
            self.step
        {
            // The reply shows whether there is a claim to release.
            return;
        }
        match self.unconfirmed_write.clone() {
            Some(precondition) => self.record(self.release_outcome(), precondition, out),
            None => self.step = Step::Finished,
        }
    }

    pub(super) fn answer(&mut self, answer: Answer, out: &mut Vec<Action>) {
        self.answered = true;
        self.answered_unknown = matches!(answer, Answer::Unknown { .. });
        out.push(Action::Answer(answer));
    }

    /// Returns whether the stored claim is in `Sending` with the owner and nonce of this request.
    pub(super) fn is_own_claim(&self, claim: &Claim) -> bool {
        matches!(&claim.state, ClaimState::Sending { owner, nonce }
            if *owner == self.spec.owner && *nonce == self.spec.nonce)
    }

    /// Returns the outcome recorded in a claim that is released without a dispatch.
    pub(super) fn release_outcome(&self) -> ActionOutcome {
        ActionOutcome::NotRun { reason: "the claim was confirmed too late to send".into() }
    }
}

pub(super) fn answer_from_outcome(outcome: ActionOutcome) -> Answer {
    match outcome {
        ActionOutcome::Done { result } => Answer::Done { result },
        ActionOutcome::NotRun { reason } => Answer::NotRun { cause: NotRunCause::Refused(reason) },
        ActionOutcome::Unknown { reason } => Answer::Unknown { reason },
    }
}
