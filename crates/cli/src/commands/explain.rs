use std::{collections::BTreeMap, ffi::OsString, fs, path::PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    exit::ExitStatus,
    report::Report,
};

/// Events that change the state of an instance. The last event of each kind, and of each `lane` if
/// the event has that field, is shown with the first later event of the request.
const STATE_EVENTS: [&str; 8] = [
    "start",
    "config",
    "replicas",
    "instances",
    "store_lost",
    "store_regained",
    "source_lost",
    "stop_asked",
];

xflags::xflags! {
    cmd explain {
        /// Request id that the client sent.
        required id: String
        /// Log files of the instances.
        repeated files: PathBuf
    }
}

/// Lines of one log file that concern a request.
#[derive(Serialize)]
struct RequestLog {
    file: String,
    /// Last state events before the request.
    #[serde(rename = "beliefs")]
    state: Vec<Value>,
    /// Events of the request.
    lines: Vec<Value>,
}

impl Command for Explain {
    const NAME: &'static [&'static str] = &["explain"];
    const ABOUT: &'static str =
        "Shows the log events of a request and the state of the instances at that time.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Show the events of a request and the state of the instance when it arrived.",
        args: &["9882dccc53375a70", "config/instance.log"],
        requires: Requirement::LocalFiles,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<Explain> {
        let flags = Explain::from_vec(args)?;
        if flags.files.is_empty() {
            return Err(xflags::Error::new("name at least one log file"));
        }
        Ok(flags)
    }

    fn run(self, _: &Context) -> Result<Report, CliError> {
        let mut logs = Vec::new();
        for path in &self.files {
            let text = fs::read_to_string(path)
                .map_err(|source| CliError::ReadFile { path: path.clone(), source })?;
            logs.extend(extract_request(&path.display().to_string(), &text, &self.id));
        }
        let status = if logs.is_empty() { ExitStatus::Findings } else { ExitStatus::Success };
        let text = match logs.is_empty() {
            true => format!("no events of request {} found\n", self.id),
            false => logs.iter().map(format_log).collect(),
        };
        Ok(Report::new(text, &logs).with_status(status))
    }
}

/// Collects the events of a request. Lines that can't be parsed are skipped, because a log file may
/// begin or end in the middle of a line.
fn extract_request(file: &str, text: &str, id: &str) -> Option<RequestLog> {
    let mut state: BTreeMap<String, Value> = BTreeMap::new();
    let mut log = RequestLog { file: file.to_owned(), state: Vec::new(), lines: Vec::new() };
    for line in text.lines() {
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        let field = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
        let event = field("event");
        if field("request") == id {
            if log.lines.is_empty() {
                log.state = state.values().cloned().collect();
            }
            log.lines.push(Value::Object(fields));
        } else if STATE_EVENTS.contains(&event) {
            state.insert(format!("{event} {}", field("lane")), Value::Object(fields));
        }
    }
    (!log.lines.is_empty()).then_some(log)
}

fn format_log(log: &RequestLog) -> String {
    let mut text = format!("{}\n  state:\n", log.file);
    let at = log.lines.first().and_then(|it| it["up_ms"].as_u64()).unwrap_or_default();
    for it in &log.state {
        let age = at.saturating_sub(it["up_ms"].as_u64().unwrap_or_default());
        text.push_str(&format!("    {age:>8} ms earlier  {}\n", format_fields(it)));
    }
    text.push_str("  events:\n");
    for it in &log.lines {
        text.push_str(&format!("    at {:>8} ms  {}\n", it["up_ms"], format_fields(it)));
    }
    text
}

/// Formats an event and its fields, sorted by name.
fn format_fields(line: &Value) -> String {
    let none = Map::new();
    let fields = line.as_object().unwrap_or(&none);
    let others = fields.iter().filter(|it| it.0 != "event" && it.0 != "up_ms");
    let others: Vec<String> = others.map(|(name, value)| format!("{name}={value}")).collect();
    format!("{} {}", line["event"].as_str().unwrap_or_default(), others.join(" "))
}
