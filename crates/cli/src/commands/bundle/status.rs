use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_protocol::platform::InstanceStatus;
use serde_json::json;

use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    exit::ExitStatus,
    report::{Report, format_table},
    rollout::{
        acceptance::{Acceptance, check_acceptance, read_instance_statuses},
        update::read_current,
    },
    store::platform_client,
};

xflags::xflags! {
    cmd bundle-status {
        /// Number of configured instances; the number that have reported if absent.
        optional --instances number: usize
        /// Address of the platform's object API; $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for BundleStatus {
    const NAME: &'static [&'static str] = &["bundle", "status"];
    const ABOUT: &'static str =
        "Shows the active version of each instance and which instances are behind.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Check all instances; exit code 1 means that one is behind or has not reported.",
        args: &["--instances", "6"],
        requires: Requirement::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleStatus> {
        BundleStatus::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let store = platform_client(cx.platform_addr(self.platform)?);
        let (current, statuses) = cx.block_on(async {
            (read_current(&store).await, read_instance_statuses(&store).await)
        })?;
        let Some((_, bundle)) = current? else { return Err(CliError::NoConfiguration) };
        let statuses = statuses?;
        let acceptance = check_acceptance(&statuses, bundle.version, self.instances);
        let all_current =
            acceptance.holding >= acceptance.instances && acceptance.behind.is_empty();
        let status = if all_current { ExitStatus::Success } else { ExitStatus::Findings };
        let text =
            format!("{}{}", instances_table(&statuses, bundle.version), summary_line(&acceptance));
        let json = json!({ "acceptance": acceptance, "instances": statuses });
        Ok(Report::new(text, &json).with_status(status))
    }
}

fn instances_table(statuses: &[InstanceStatus], newest: u64) -> String {
    let heading = ["INSTANCE", "DATA CENTRE", "VERSION", "BEHIND", "READY"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    rows.extend(statuses.iter().map(|it| {
        let behind =
            it.version.map_or("-".to_owned(), |version| newest.saturating_sub(version).to_string());
        vec![
            it.instance.to_string(),
            it.data_centre.to_string(),
            it.version.map_or("none".to_owned(), |version| version.to_string()),
            behind,
            if it.ready { "yes" } else { "no" }.to_owned(),
        ]
    }));
    format_table(&rows)
}

fn summary_line(acceptance: &Acceptance) -> String {
    let Acceptance { version, holding, instances, accepted, behind } = acceptance;
    let state = if *accepted { "accepted" } else { "not yet accepted" };
    let behind = if behind.is_empty() { "nobody".to_owned() } else { behind.join(", ") };
    format!("version {version}: {state}; {holding} of {instances} instances; behind: {behind}\n")
}
