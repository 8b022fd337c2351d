//! Records the outcome in a claim, releases claims that were confirmed too late and retries store
//! calls.

use rosemarybank_protocol::{
    platform::{Claim, ClaimState},
    prelude::*,
};

use super::{
    Action, Machine, NotRunCause, StoreReply,
    machine::answer_from_outcome,
    step::{Operation, Precondition, Step},
};

impl Machine {
    /// Writes the outcome to the claim.
    pub(super) fn record(
        &mut self,
        outcome: ActionOutcome,
        precondition: Precondition,
        out: &mut Vec<Action>,
    ) {
        self.call(Operation::Record { outcome, precondition }, out);
    }

    /// Handles a reply to a create or `NotRun` → `Sending` update that arrived after the caller was
    /// answered.
    pub(super) fn on_late_reply(
        &mut self,
        operation: Operation,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        let precondition = match operation {
            Operation::Reacquire { etag } => Precondition::Tag(etag),
            _ => Precondition::Absent,
        };
        match reply {
            StoreReply::Created { etag } | StoreReply::Updated { etag } => {
                self.record(self.release_outcome(), Precondition::Tag(etag), out);
            }
            StoreReply::Lost => self.record(self.release_outcome(), precondition, out),
            // Only an earlier write whose reply was lost can still have acquired the claim.
            _ => match self.unconfirmed_write.clone() {
                Some(precondition) => self.record(self.release_outcome(), precondition, out),
                None => self.step = Step::Finished,
            },
        }
    }

    /// Handles the reply to the write of the outcome.
    pub(super) fn on_record(
        &mut self,
        now: Time,
        outcome: ActionOutcome,
        precondition: Precondition,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            StoreReply::Created { .. } | StoreReply::Updated { .. } => {
                self.finish_recording(outcome, out)
            }
            StoreReply::Failed => self.retry(now, Operation::Record { outcome, precondition }, out),
            StoreReply::Lost => {
                self.retry(now, Operation::RecordInspect { outcome, precondition }, out)
            }
            _ => self.call(Operation::RecordInspect { outcome, precondition }, out),
        }
    }

    /// Handles the reply to the read after a lost or conflicting write of the outcome.
    pub(super) fn on_record_inspect(
        &mut self,
        now: Time,
        outcome: ActionOutcome,
        precondition: Precondition,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            StoreReply::Found { claim, etag } if self.is_own_claim(&claim) => {
                self.record(outcome, Precondition::Tag(etag), out);
            }
            StoreReply::Found { claim, etag } => {
                let unchanged = precondition == Precondition::Tag(etag);
                if unchanged && matches!(claim.state, ClaimState::Ended { .. }) {
                    // A lost `NotRun` → `Sending` update may still be applied to this entity tag.
                    return self.record(outcome, precondition, out);
                }
                // The write was applied, or an operator settled the claim manually.
                self.finish_recording(outcome, out);
            }
            StoreReply::Missing if precondition == Precondition::Absent => {
                self.record(outcome, precondition, out)
            }
            StoreReply::Missing => self.finish_recording(outcome, out),
            _ => self.retry(now, Operation::RecordInspect { outcome, precondition }, out),
        }
    }

    fn finish_recording(&mut self, outcome: ActionOutcome, out: &mut Vec<Action>) {
        self.step = Step::Finished;
        if !self.answered {
            self.answer(answer_from_outcome(outcome), out);
        }
    }

    /// Schedules a retry of a store call. When the attempts are exhausted, also answers the caller;
    /// if the action was not dispatched, the call is then dropped and the claim released if necessary.
    pub(super) fn retry(&mut self, now: Time, operation: Operation, out: &mut Vec<Action>) {
        let settings = &self.spec.settings;
        if self.answered {
            let until = now + settings.background_retry_after;
            self.step = Step::Pause { until, operation };
            return;
        }
        self.failures += 1;
        let until = now + settings.retry_after;
        let exhausted = self.failures >= settings.attempts;
        self.step = Step::Pause { until, operation };
        if !exhausted {
            return;
        }
        // The outcome of a dispatched action is valid whether or not the store contains it.
        let outcome = match &self.step {
            Step::Pause { operation, .. } => operation.outcome().cloned(),
            _ => None,
        };
        match outcome {
            Some(outcome) => self.answer(answer_from_outcome(outcome), out),
            None => self.give_up(NotRunCause::StoreUnavailable, out),
        }
    }

    /// Issues a store call. The number of calls after the answer to the caller is limited.
    pub(super) fn call(&mut self, operation: Operation, out: &mut Vec<Action>) {
        if self.answered {
            if self.background_calls >= self.spec.settings.background_attempts {
                self.step = Step::Finished;
                return;
            }
            self.background_calls += 1;
        }
        let call = self.next_call;
        self.next_call += 1;
        out.push(self.store_action(call, &operation));
        self.step = Step::Call { call, operation };
    }

    /// Returns the action that performs an operation.
    fn store_action(&self, call: u32, operation: &Operation) -> Action {
        let claim = |state| Claim { fingerprint: self.spec.fingerprint, state };
        let sending =
            || ClaimState::Sending { owner: self.spec.owner.clone(), nonce: self.spec.nonce };
        let ended = |outcome: &ActionOutcome| ClaimState::Ended { outcome: outcome.clone() };
        match operation {
            Operation::Create => Action::Create { call, claim: claim(sending()) },
            Operation::Reacquire { etag } => {
                Action::Update { call, claim: claim(sending()), if_match: etag.clone() }
            }
            Operation::Inspect | Operation::RecordInspect { .. } => Action::Read { call },
            Operation::Wait { after } => {
                Action::WaitForChange { call, after: after.clone(), until: self.spec.deadline }
            }
            Operation::Record { outcome, precondition: Precondition::Absent } => {
                Action::Create { call, claim: claim(ended(outcome)) }
            }
            Operation::Record { outcome, precondition: Precondition::Tag(etag) } => {
                Action::Update { call, claim: claim(ended(outcome)), if_match: etag.clone() }
            }
        }
    }
}
