use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_protocol::platform::{INSTANCES_PREFIX, InstanceEntry, InstanceState};
use serde_json::json;

use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    report::{Report, format_table},
    rollout::acceptance::read_instance_statuses,
    store::{list_json, platform_client},
};

xflags::xflags! {
    cmd instances {
        /// Address of the platform's object API; $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for Instances {
    const NAME: &'static [&'static str] = &["instances"];
    const ABOUT: &'static str =
        "Lists the entry instances and the upstream replicas known to the platform.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "List them; the list of replicas may lag behind their actual state.",
        args: &[],
        requires: Requirement::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<Instances> {
        Instances::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let store = platform_client(cx.platform_addr(self.platform)?);
        let (statuses, replicas) = cx.block_on(async {
            let replicas = list_json::<InstanceEntry>(&store, INSTANCES_PREFIX).await;
            (read_instance_statuses(&store).await, replicas)
        })?;
        let statuses = statuses?;
        let replicas: Vec<_> = replicas?.into_iter().map(|(_, entry)| entry).collect();
        let heading = ["ENTRY INSTANCE", "DATA CENTRE", "READY"];
        let mut entries = vec![heading.map(str::to_owned).to_vec()];
        entries.extend(statuses.iter().map(|it| {
            let ready = if it.ready { "yes" } else { "no" };
            vec![it.instance.to_string(), it.data_centre.to_string(), ready.to_owned()]
        }));
        let heading = ["UPSTREAM", "REPLICA", "DATA CENTRE", "ADDRESS", "STATE"];
        let mut upstreams = vec![heading.map(str::to_owned).to_vec()];
        upstreams.extend(replicas.iter().map(replica_row));
        let text = format!("{}\n{}", format_table(&entries), format_table(&upstreams));
        Ok(Report::new(text, &json!({ "entry_instances": statuses, "replicas": replicas })))
    }
}

fn replica_row(entry: &InstanceEntry) -> Vec<String> {
    let state = match entry.state {
        InstanceState::Live => "live",
        InstanceState::Leaving => "leaving",
    };
    vec![
        entry.upstream.to_string(),
        entry.replica.to_string(),
        entry.data_centre.to_string(),
        entry.addr.to_string(),
        state.to_owned(),
    ]
}
