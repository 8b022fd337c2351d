//! Commands for one-time actions.

pub(crate) mod settle;
pub(crate) mod show;
pub(crate) mod submit;

use rosemarybank_protocol::action::{ActionOutcome, ActionResponse};

use crate::{exit::ExitStatus, report::Report};

fn action_report(resp: &ActionResponse) -> Report {
    let (line, status) = outcome_line(&resp.outcome);
    let text = format!("{line}\nkey   {}\ntrace {}\n", resp.key, resp.trace_id);
    Report::new(text, resp).with_status(status)
}

fn outcome_line(outcome: &ActionOutcome) -> (String, ExitStatus) {
    match outcome {
        ActionOutcome::Done { result } => (format!("done: {result}"), ExitStatus::Success),
        ActionOutcome::NotRun { reason } => (format!("not run: {reason}"), ExitStatus::NotRun),
        ActionOutcome::Unknown { reason } => {
            (format!("outcome unknown: {reason}"), ExitStatus::OutcomeUnknown)
        }
    }
}
