use std::{collections::BTreeMap, ffi::OsString, fs, path::PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{
    command::{Command, Example, Needs},
    context::Context,
    error::CliError,
    exit::ExitStatus,
    report::Report,
};

/// Events that change what an instance believes or how it serves. Of each the last one before a
/// request is shown with it.
const BELIEFS: [&str; 8] = [
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
        /// Id of the request, as its client gave it.
        required id: String
        /// Logs of the instances.
        repeated files: PathBuf
    }
}

/// What a log says of a request.
#[derive(Serialize)]
struct Trail {
    file: String,
    /// What the instance believed when it decided.
    beliefs: Vec<Value>,
    /// Lines of the request.
    lines: Vec<Value>,
}

impl Command for Explain {
    const NAME: &'static [&'static str] = &["explain"];
    const ABOUT: &'static str = "Follows a request through the logs of instances.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Show what an instance decided for a request, and what it believed then.",
        args: &["9882dccc53375a70", "config/instance.log"],
        needs: Needs::Files,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<Explain> {
        let flags = Explain::from_vec(args)?;
        if flags.files.is_empty() {
            return Err(xflags::Error::new("name one log at least"));
        }
        Ok(flags)
    }

    fn run(self, _: &Context) -> Result<Report, CliError> {
        let mut trails = Vec::new();
        for path in &self.files {
            let text = fs::read_to_string(path)
                .map_err(|source| CliError::Read { path: path.clone(), source })?;
            trails.extend(trail(&path.display().to_string(), &text, &self.id));
        }
        let status = if trails.is_empty() { ExitStatus::Finding } else { ExitStatus::Done };
        let text = match trails.is_empty() {
            true => format!("no line of request {} was kept\n", self.id),
            false => trails.iter().map(render).collect(),
        };
        Ok(Report::new(text, &trails).with_status(status))
    }
}

/// Collects the lines of a request. Lines that are not of the log's form are passed over, because
/// a log may begin or end within a line.
fn trail(file: &str, text: &str, id: &str) -> Option<Trail> {
    let mut beliefs: BTreeMap<String, Value> = BTreeMap::new();
    let mut trail = Trail { file: file.to_owned(), beliefs: Vec::new(), lines: Vec::new() };
    for line in text.lines() {
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        let field = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
        let event = field("event");
        if field("request") == id {
            if trail.lines.is_empty() {
                trail.beliefs = beliefs.values().cloned().collect();
            }
            trail.lines.push(Value::Object(fields));
        } else if BELIEFS.contains(&event) {
            beliefs.insert(format!("{event} {}", field("lane")), Value::Object(fields));
        }
    }
    (!trail.lines.is_empty()).then_some(trail)
}

fn render(trail: &Trail) -> String {
    let mut text = format!("{}\n  believed:\n", trail.file);
    let at = trail.lines.first().and_then(|it| it["up_ms"].as_u64()).unwrap_or_default();
    for it in &trail.beliefs {
        let age = at.saturating_sub(it["up_ms"].as_u64().unwrap_or_default());
        text.push_str(&format!("    {age:>8} ms before  {}\n", fields(it)));
    }
    text.push_str("  decided:\n");
    for it in &trail.lines {
        text.push_str(&format!("    at {:>8} ms  {}\n", it["up_ms"], fields(it)));
    }
    text
}

/// An event and its fields in the order of their names.
fn fields(line: &Value) -> String {
    let none = Map::new();
    let fields = line.as_object().unwrap_or(&none);
    let others = fields.iter().filter(|it| it.0 != "event" && it.0 != "up_ms");
    let others: Vec<String> = others.map(|(name, value)| format!("{name}={value}")).collect();
    format!("{} {}", line["event"].as_str().unwrap_or_default(), others.join(" "))
}
