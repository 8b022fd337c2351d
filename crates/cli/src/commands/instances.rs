use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_protocol::platform::{INSTANCES_PREFIX, InstanceEntry, InstanceState};
use serde_json::json;

use crate::{
    command::{Command, Example, Needs},
    context::Context,
    error::CliError,
    report::{Report, table},
    rollout::accept::read_fleet,
    store::{connect, list_json},
};

xflags::xflags! {
    cmd instances {
        /// Platform's object API; $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for Instances {
    const NAME: &'static [&'static str] = &["instances"];
    const ABOUT: &'static str = "Lists our entry instances and the platform's list of upstreams.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "List them; the platform's list may lag behind what instances report themselves.",
        args: &[],
        needs: Needs::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<Instances> {
        Instances::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let store = connect(cx.platform(self.platform)?);
        let (fleet, replicas) = cx.block_on(async {
            let replicas = list_json::<InstanceEntry>(&store, INSTANCES_PREFIX).await;
            (read_fleet(&store).await, replicas)
        })?;
        let fleet = fleet?;
        let replicas: Vec<_> = replicas?.into_iter().map(|(_, entry)| entry).collect();
        let heading = ["ENTRY INSTANCE", "DATA CENTRE", "READY"];
        let mut entries = vec![heading.map(str::to_owned).to_vec()];
        entries.extend(fleet.iter().map(|it| {
            let ready = if it.ready { "yes" } else { "no" };
            vec![it.instance.to_string(), it.data_centre.to_string(), ready.to_owned()]
        }));
        let heading = ["UPSTREAM", "REPLICA", "DATA CENTRE", "ADDRESS", "STATE"];
        let mut upstreams = vec![heading.map(str::to_owned).to_vec()];
        upstreams.extend(replicas.iter().map(replica_row));
        let text = format!("{}\n{}", table(&entries), table(&upstreams));
        Ok(Report::new(text, &json!({ "entry_instances": fleet, "replicas": replicas })))
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
