//! Records the outcome of a claim, releases late claims and repeats failed store calls.

use rosemarybank_protocol::{
    platform::{Claim, ClaimState},
    prelude::*,
};

use super::{
    Action, Machine, NotRunCause, StoreReply,
    machine::answer_of,
    step::{Basis, Goal, Step},
};

impl Machine {
    pub(super) fn record(&mut self, outcome: ActionOutcome, basis: Basis, out: &mut Vec<Action>) {
        self.call(Goal::Record { outcome, basis }, out);
    }

    /// Reply to a create or `NotRun` → `Sending` update that outlived the caller's deadline.
    pub(super) fn on_late(&mut self, goal: Goal, reply: StoreReply, out: &mut Vec<Action>) {
        let basis = match goal {
            Goal::Take { etag } => Basis::Tag(etag),
            _ => Basis::Absent,
        };
        match reply {
            StoreReply::Created { etag } | StoreReply::Updated { etag } => {
                self.record(self.released(), Basis::Tag(etag), out);
            }
            StoreReply::Lost => self.record(self.released(), basis, out),
            // Without an earlier lost call the claim can't be ours.
            _ => match self.uncertain.clone() {
                Some(basis) => self.record(self.released(), basis, out),
                None => self.step = Step::Finished,
            },
        }
    }

    /// Reply to the write of the outcome.
    pub(super) fn on_record(
        &mut self,
        now: Time,
        outcome: ActionOutcome,
        basis: Basis,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            StoreReply::Created { .. } | StoreReply::Updated { .. } => self.recorded(outcome, out),
            StoreReply::Failed => self.retry(now, Goal::Record { outcome, basis }, out),
            StoreReply::Lost => self.retry(now, Goal::RecordInspect { outcome, basis }, out),
            _ => self.call(Goal::RecordInspect { outcome, basis }, out),
        }
    }

    /// Reply to the read after a lost or conflicting write of the outcome.
    pub(super) fn on_record_inspect(
        &mut self,
        now: Time,
        outcome: ActionOutcome,
        basis: Basis,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            StoreReply::Found { claim, etag } if self.is_ours(&claim) => {
                self.record(outcome, Basis::Tag(etag), out);
            }
            StoreReply::Found { claim, etag } => {
                let unchanged = basis == Basis::Tag(etag);
                if unchanged && matches!(claim.state, ClaimState::Ended { .. }) {
                    // A lost `NotRun` → `Sending` update can still apply to this tag.
                    return self.record(outcome, basis, out);
                }
                // The write was applied, or an operator settled the claim.
                self.recorded(outcome, out);
            }
            StoreReply::Missing if basis == Basis::Absent => self.record(outcome, basis, out),
            StoreReply::Missing => self.recorded(outcome, out),
            _ => self.retry(now, Goal::RecordInspect { outcome, basis }, out),
        }
    }

    fn recorded(&mut self, outcome: ActionOutcome, out: &mut Vec<Action>) {
        self.step = Step::Finished;
        if !self.answered {
            self.answer(answer_of(outcome), out);
        }
    }

    /// Repeats a call after a pause, or answers the caller when the store seems lost.
    pub(super) fn retry(&mut self, now: Time, goal: Goal, out: &mut Vec<Action>) {
        let settings = &self.spec.settings;
        if self.answered {
            let until = now + settings.background_retry_after;
            self.step = Step::Pause { until, goal };
            return;
        }
        self.failures += 1;
        let until = now + settings.retry_after;
        let exhausted = self.failures >= settings.attempts;
        self.step = Step::Pause { until, goal };
        if !exhausted {
            return;
        }
        // The outcome of an executed action is true whether or not the store holds it.
        let outcome = match &self.step {
            Step::Pause { goal, .. } => goal.outcome().cloned(),
            _ => None,
        };
        match outcome {
            Some(outcome) => self.answer(answer_of(outcome), out),
            None => self.give_up(NotRunCause::StoreUnavailable, out),
        }
    }

    /// Makes a store call. After the answer the number of calls is bounded.
    pub(super) fn call(&mut self, goal: Goal, out: &mut Vec<Action>) {
        if self.answered {
            if self.background_calls >= self.spec.settings.background_attempts {
                self.step = Step::Finished;
                return;
            }
            self.background_calls += 1;
        }
        let call = self.next_call;
        self.next_call += 1;
        out.push(self.request(call, &goal));
        self.step = Step::Call { call, goal };
    }

    fn request(&self, call: u32, goal: &Goal) -> Action {
        let claim = |state| Claim { fingerprint: self.spec.fingerprint, state };
        let sending =
            || ClaimState::Sending { owner: self.spec.owner.clone(), nonce: self.spec.nonce };
        let ended = |outcome: &ActionOutcome| ClaimState::Ended { outcome: outcome.clone() };
        match goal {
            Goal::Create => Action::Create { call, claim: claim(sending()) },
            Goal::Take { etag } => {
                Action::Update { call, claim: claim(sending()), if_match: etag.clone() }
            }
            Goal::Inspect | Goal::RecordInspect { .. } => Action::Read { call },
            Goal::Wait { after } => {
                Action::WaitForChange { call, after: after.clone(), until: self.spec.deadline }
            }
            Goal::Record { outcome, basis: Basis::Absent } => {
                Action::Create { call, claim: claim(ended(outcome)) }
            }
            Goal::Record { outcome, basis: Basis::Tag(etag) } => {
                Action::Update { call, claim: claim(ended(outcome)), if_match: etag.clone() }
            }
        }
    }
}
