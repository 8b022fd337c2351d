use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_protocol::{
    action::ActionOutcome,
    platform::{CLAIMS_PREFIX, Claim, ClaimState},
};
use rosemarybank_store::WriteOutcome;
use serde_json::json;
use uuid::Uuid;

use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    report::Report,
    store::{ObjectStore, get_json, platform_client, to_json},
};

xflags::xflags! {
    cmd action-settle {
        /// Name of the caller in the bundle.
        required caller: String
        /// Idempotency key of the action.
        required key: Uuid
        /// The action took effect; the caller receives the text as the upstream's response.
        optional --done result: String
        /// The action did not take effect and can no longer do so; the caller may retry it.
        optional --not-run reason: String
        /// The instance that holds the claim is stopped and can no longer send the action.
        optional --holder-stopped
        /// Address of the platform's object API; $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for ActionSettle {
    const NAME: &'static [&'static str] = &["action", "settle"];
    const ABOUT: &'static str = "Settles an action whose outcome is unknown.";
    const EXAMPLES: &'static [Example] = &[
        Example {
            about: "Settle an action as done because the ledger shows its effect.",
            args: &[
                "buyer-desk",
                "0190d3a4-7c1e-7b3a-9f00-3b1f2c4d5e6f",
                "--done",
                "lot 17 reserved",
            ],
            requires: Requirement::Servers,
        },
        Example {
            about: "Settle an action as not run after the instance with its claim was stopped.",
            args: &[
                "buyer-desk",
                "0190d3a4-7c1e-7b3a-9f00-3b1f2c4d5e6f",
                "--not-run",
                "not in the ledger",
                "--holder-stopped",
            ],
            requires: Requirement::Servers,
        },
    ];

    fn parse(args: Vec<OsString>) -> xflags::Result<ActionSettle> {
        let flags = ActionSettle::from_vec(args)?;
        if flags.done.is_some() == flags.not_run.is_some() {
            return Err(xflags::Error::new("pass either --done or --not-run"));
        }
        Ok(flags)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let store = platform_client(cx.platform_addr(self.platform)?);
        cx.block_on(self.settle(&store))?
    }
}

impl ActionSettle {
    async fn settle(&self, store: &impl ObjectStore) -> Result<Report, CliError> {
        let path = format!("{CLAIMS_PREFIX}{}/{}", self.caller, self.key);
        let Some((version, claim)) = get_json::<Claim>(store, &path).await? else {
            return Err(CliError::ClaimNotFound { path });
        };
        self.check_settleable(&claim, &path)?;
        let outcome = self.outcome();
        let settled = Claim { state: ClaimState::Ended { outcome }, ..claim };
        match store.update(&path, version, to_json(&settled)).await {
            WriteOutcome::Applied { .. } => {}
            WriteOutcome::Conflict { .. } => return Err(CliError::ClaimChanged { path }),
            WriteOutcome::NotApplied(e) => return Err(CliError::Platform(e)),
            WriteOutcome::Unknown(e) => {
                let now = get_json::<Claim>(store, &path).await?;
                if now.is_none_or(|(_, claim)| claim != settled) {
                    return Err(CliError::SettleOutcomeUnknown { path, source: e });
                }
            }
        }
        Ok(Report::new(format!("{path}: settled\n"), &json!({ "path": path, "claim": settled })))
    }

    fn outcome(&self) -> ActionOutcome {
        match (&self.done, &self.not_run) {
            (Some(result), _) => ActionOutcome::Done { result: result.as_str().into() },
            (None, reason) => {
                ActionOutcome::NotRun { reason: reason.as_deref().unwrap_or_default().into() }
            }
        }
    }

    /// Checks that the claim can be settled: its outcome is unknown, or its holder is stopped. The
    /// holder of a claim in state `sending` may be paused and send the action later, so settling it
    /// as not run could let a retry run the action twice.
    fn check_settleable(&self, claim: &Claim, path: &str) -> Result<(), CliError> {
        match &claim.state {
            ClaimState::Ended { outcome: ActionOutcome::Unknown { .. } } => Ok(()),
            ClaimState::Sending { .. } if self.holder_stopped => Ok(()),
            ClaimState::Sending { owner, .. } => {
                Err(CliError::ClaimHeld { path: path.to_owned(), owner: owner.to_string() })
            }
            ClaimState::Ended { outcome } => {
                let state = super::outcome_line(outcome).0;
                Err(CliError::ClaimAlreadySettled { path: path.to_owned(), state })
            }
        }
    }
}
