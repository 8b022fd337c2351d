use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_protocol::platform::InstanceStatus;
use serde_json::json;

use crate::{
    command::{Command, Example, Needs},
    context::Context,
    error::CliError,
    exit::ExitStatus,
    report::{Report, table},
    rollout::{
        accept::{Acceptance, judge, read_fleet},
        update::read_base,
    },
    store::connect,
};

xflags::xflags! {
    cmd bundle-status {
        /// Number of configured instances; those that have reported if absent.
        optional --instances number: usize
        /// Platform's object API; $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for BundleStatus {
    const NAME: &'static [&'static str] = &["bundle", "status"];
    const ABOUT: &'static str = "Shows the version in force at each instance and who is behind.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Exit code 1 means that an instance is behind or has not reported.",
        args: &["--instances", "6"],
        needs: Needs::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleStatus> {
        BundleStatus::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let store = connect(cx.platform(self.platform)?);
        let (base, fleet) =
            cx.block_on(async { (read_base(&store).await, read_fleet(&store).await) })?;
        let Some((_, bundle)) = base? else { return Err(CliError::NoConfiguration) };
        let fleet = fleet?;
        let acceptance = judge(&fleet, bundle.version, self.instances);
        let all = acceptance.holding >= acceptance.instances && acceptance.behind.is_empty();
        let status = if all { ExitStatus::Done } else { ExitStatus::Finding };
        let text = format!("{}{}", instances_table(&fleet, bundle.version), summary(&acceptance));
        let json = json!({ "acceptance": acceptance, "instances": fleet });
        Ok(Report::new(text, &json).with_status(status))
    }
}

fn instances_table(fleet: &[InstanceStatus], newest: u64) -> String {
    let heading = ["INSTANCE", "DATA CENTRE", "VERSION", "BEHIND", "READY"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    rows.extend(fleet.iter().map(|it| {
        let behind =
            it.version.map_or("-".to_owned(), |own| newest.saturating_sub(own).to_string());
        vec![
            it.instance.to_string(),
            it.data_centre.to_string(),
            it.version.map_or("none".to_owned(), |own| own.to_string()),
            behind,
            if it.ready { "yes" } else { "no" }.to_owned(),
        ]
    }));
    table(&rows)
}

fn summary(acceptance: &Acceptance) -> String {
    let Acceptance { version, holding, instances, accepted, behind } = acceptance;
    let state = if *accepted { "accepted" } else { "not yet accepted" };
    let behind = if behind.is_empty() { "nobody".to_owned() } else { behind.join(", ") };
    format!("version {version}: {state}; {holding} of {instances} instances; behind: {behind}\n")
}
