use std::{
    ffi::{OsStr, OsString},
    io::{self, Write},
    process::ExitCode,
};

use serde_json::json;

use crate::{
    command::{Entry, Needs},
    commands::COMMANDS,
    context::Context,
    error::CliError,
    exit::ExitStatus,
    report::Report,
};

/// Runs the command that `args` name and prints its result.
///
/// # Examples
///
/// ```
/// use std::process::ExitCode;
///
/// let code = rosemarybank_cli::main(vec!["help".into(), "bundle".into(), "check".into()]);
/// assert_eq!(code, ExitCode::SUCCESS);
/// ```
#[must_use]
pub fn main(args: Vec<OsString>) -> ExitCode {
    let (args, json) = take_json(args);
    match run(&args) {
        Ok(report) => {
            let text = if json { format!("{}\n", report.json) } else { report.text };
            write_all(&mut io::stdout(), &text);
            report.status.into()
        }
        Err(e) => {
            if json {
                let code = e.exit().code();
                let body = json!({ "error": e.to_string(), "help": e.help(), "exit": code });
                write_all(&mut io::stdout(), &format!("{body}\n"));
            } else {
                write_all(&mut io::stderr(), &format!("error: {e}\nhelp: {}\n", e.help()));
            }
            e.exit().into()
        }
    }
}

/// An example of a command's help, for tests that run it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Arguments after `rosemarybank`.
    pub args: Vec<&'static str>,
    /// Whether it runs without a platform or instance.
    pub offline: bool,
}

/// The examples of all commands.
#[must_use]
pub fn samples() -> Vec<Sample> {
    let of_entry = |entry: &'static Entry| {
        entry.examples.iter().map(|example| Sample {
            args: entry.name.iter().chain(example.args).copied().collect(),
            offline: example.needs == Needs::Files,
        })
    };
    COMMANDS.iter().flat_map(of_entry).collect()
}

fn run(args: &[OsString]) -> Result<Report, CliError> {
    let wants_help = args.first().is_none_or(|it| it == "help" || it == "--help" || it == "-h");
    if wants_help {
        return help(args.get(1..).unwrap_or_default());
    }
    let Some(entry) = find(args) else {
        return Err(unknown_command(args));
    };
    match (entry.parse)(args[entry.name.len()..].to_vec()) {
        Ok(start) => start(&Context),
        Err(e) if e.is_help() => Ok(command_help(entry)),
        Err(e) => Err(CliError::Usage(format!("{}: {e}", entry.title()))),
    }
}

fn find(args: &[OsString]) -> Option<&'static Entry> {
    COMMANDS.iter().find(|entry| {
        args.len() >= entry.name.len()
            && entry.name.iter().zip(args).all(|(word, arg)| OsStr::new(word) == arg)
    })
}

fn unknown_command(args: &[OsString]) -> CliError {
    let group = |entry: &&Entry| args.first().is_some_and(|it| OsStr::new(entry.name[0]) == it);
    let below: Vec<_> = COMMANDS.iter().filter(group).map(Entry::title).collect();
    let typed: Vec<_> = args.iter().take(2).map(|it| it.to_string_lossy()).collect();
    let mut message = format!("there is no command `{}`", typed.join(" "));
    if !below.is_empty() {
        message.push_str(&format!("; there are: {}", below.join(", ")));
    }
    CliError::Usage(message)
}

/// Writes without regard to failures: a reader that has seen enough, such as `head`, closes the
/// pipe, which must not change the exit code.
pub(crate) fn write_all(out: &mut impl Write, text: &str) {
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// Takes `--json`, which every command has, out of the arguments before `--`.
fn take_json(args: Vec<OsString>) -> (Vec<OsString>, bool) {
    let end = args.iter().position(|it| it == "--").unwrap_or(args.len());
    let mut kept = args;
    let rest = kept.split_off(end);
    let len = kept.len();
    kept.retain(|it| it != "--json");
    let json = kept.len() < len;
    kept.extend(rest);
    (kept, json)
}

fn help(words: &[OsString]) -> Result<Report, CliError> {
    if words.is_empty() {
        return Ok(overview());
    }
    match find(words) {
        Some(entry) => Ok(command_help(entry)),
        None => Err(unknown_command(words)),
    }
}

fn overview() -> Report {
    let mut text = "rosemarybank - the operators' command\n\nCOMMANDS:\n".to_owned();
    let width = COMMANDS.iter().map(|it| it.title().len()).max().unwrap_or_default();
    for entry in COMMANDS {
        text.push_str(&format!("    {:<width$}  {}\n", entry.title(), entry.about));
    }
    text.push_str("\n`rosemarybank help <command>` shows its arguments and examples.\n");
    text.push_str("Every command takes `--json`, which prints the result as one JSON value.\n");
    text.push_str("\nEXIT CODES:\n");
    for status in ExitStatus::ALL {
        let (code, meaning) = status.row();
        text.push_str(&format!("    {code}  {meaning}\n"));
    }
    let names: Vec<_> = COMMANDS.iter().map(Entry::title).collect();
    Report::new(text, &json!({ "commands": names }))
}

fn command_help(entry: &Entry) -> Report {
    let grammar = match (entry.parse)(vec!["--help".into()]) {
        Err(e) => e.to_string(),
        Ok(_) => String::new(),
    };
    // The grammar begins with the name and the description, which are printed in another form.
    let arguments = ["ARGS:", "OPTIONS:"].iter().filter_map(|it| grammar.find(it)).min();
    let arguments = arguments.map_or("", |start| &grammar[start..]);
    let title = entry.title();
    let mut text = format!("rosemarybank {title} - {}\n\n{}\n", entry.about, arguments.trim_end());
    text.push_str("\n    --json\n      Prints the result as one JSON value.\n\nEXAMPLES:\n");
    for example in entry.examples {
        let words = example.args.iter().map(|it| quoted(it));
        let line: Vec<_> = [title.clone()].into_iter().chain(words).collect();
        text.push_str(&format!("    # {}\n    rosemarybank {}\n", example.about, line.join(" ")));
    }
    Report::new(text, &json!({ "command": title, "about": entry.about }))
}

fn quoted(word: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_./:,@=".contains(&b);
    if word.bytes().all(plain) { word.to_owned() } else { format!("'{word}'") }
}
