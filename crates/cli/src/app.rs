use std::{
    ffi::{OsStr, OsString},
    io::{self, Write},
    process::ExitCode,
};

use serde_json::json;

use crate::{
    command::{CommandSpec, Requirement},
    commands::COMMANDS,
    context::Context,
    error::CliError,
    exit::ExitStatus,
    report::Report,
};

/// Parses `args`, runs the command and prints its result to standard output, or its error to
/// standard error.
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
    let (args, json) = extract_json_flag(args);
    match run(&args) {
        Ok(report) => {
            let text = if json { format!("{}\n", report.json) } else { report.text };
            write_all(&mut io::stdout(), &text);
            report.status.into()
        }
        Err(e) => {
            if json {
                let code = e.exit_status().code();
                let body = json!({ "error": e.to_string(), "help": e.help(), "exit": code });
                write_all(&mut io::stdout(), &format!("{body}\n"));
            } else {
                write_all(&mut io::stderr(), &format!("error: {e}\nhelp: {}\n", e.help()));
            }
            e.exit_status().into()
        }
    }
}

/// Arguments of an example from the help texts, for tests that run all examples.
#[derive(Clone, Debug)]
pub struct ExampleInvocation {
    /// Arguments after `rosemarybank`.
    pub args: Vec<&'static str>,
    /// Whether the example runs without a platform or an instance.
    pub offline: bool,
}

/// Returns the examples of all commands.
#[must_use]
pub fn example_invocations() -> Vec<ExampleInvocation> {
    let invocations = |spec: &'static CommandSpec| {
        spec.examples.iter().map(|example| ExampleInvocation {
            args: spec.name.iter().chain(example.args).copied().collect(),
            offline: example.requires == Requirement::LocalFiles,
        })
    };
    COMMANDS.iter().flat_map(invocations).collect()
}

fn run(args: &[OsString]) -> Result<Report, CliError> {
    let wants_help = args.first().is_none_or(|it| it == "help" || it == "--help" || it == "-h");
    if wants_help {
        return help(args.get(1..).unwrap_or_default());
    }
    let Some(spec) = find(args) else {
        return Err(unknown_command(args));
    };
    match (spec.parse)(args[spec.name.len()..].to_vec()) {
        Ok(run_fn) => run_fn(&Context),
        Err(e) if e.is_help() => Ok(command_help(spec)),
        Err(e) => Err(CliError::Usage(format!("{}: {e}", spec.full_name()))),
    }
}

fn find(args: &[OsString]) -> Option<&'static CommandSpec> {
    COMMANDS.iter().find(|spec| {
        args.len() >= spec.name.len()
            && spec.name.iter().zip(args).all(|(word, arg)| OsStr::new(word) == arg)
    })
}

fn unknown_command(args: &[OsString]) -> CliError {
    let group = |spec: &&CommandSpec| args.first().is_some_and(|it| OsStr::new(spec.name[0]) == it);
    let siblings: Vec<_> = COMMANDS.iter().filter(group).map(CommandSpec::full_name).collect();
    let typed: Vec<_> = args.iter().take(2).map(|it| it.to_string_lossy()).collect();
    let mut message = format!("unknown command `{}`", typed.join(" "));
    if !siblings.is_empty() {
        message.push_str(&format!("; available commands: {}", siblings.join(", ")));
    }
    CliError::Usage(message)
}

/// Writes `text` and ignores errors: a reader such as `head` may close the pipe early, which must
/// not change the exit code.
pub(crate) fn write_all(out: &mut impl Write, text: &str) {
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// Removes the global flag `--json` from the arguments before `--`, and returns whether it was
/// given.
fn extract_json_flag(args: Vec<OsString>) -> (Vec<OsString>, bool) {
    let end = args.iter().position(|it| it == "--").unwrap_or(args.len());
    let mut args = args;
    let rest = args.split_off(end);
    let len = args.len();
    args.retain(|it| it != "--json");
    let json = args.len() < len;
    args.extend(rest);
    (args, json)
}

fn help(words: &[OsString]) -> Result<Report, CliError> {
    if words.is_empty() {
        return Ok(overview());
    }
    match find(words) {
        Some(spec) => Ok(command_help(spec)),
        None => Err(unknown_command(words)),
    }
}

fn overview() -> Report {
    let mut text = "rosemarybank - command-line tool for operators\n\nCOMMANDS:\n".to_owned();
    let width = COMMANDS.iter().map(|it| it.full_name().len()).max().unwrap_or_default();
    for spec in COMMANDS {
        text.push_str(&format!("    {:<width$}  {}\n", spec.full_name(), spec.about));
    }
    text.push_str(
        "\n`rosemarybank help <command>` shows the arguments and examples of a command.\n",
    );
    text.push_str("Every command accepts `--json`, which prints the result as one JSON value.\n");
    text.push_str("\nEXIT CODES:\n");
    for status in ExitStatus::ALL {
        let (code, meaning) = status.code_and_meaning();
        text.push_str(&format!("    {code}  {meaning}\n"));
    }
    let names: Vec<_> = COMMANDS.iter().map(CommandSpec::full_name).collect();
    Report::new(text, &json!({ "commands": names }))
}

fn command_help(spec: &CommandSpec) -> Report {
    let generated = match (spec.parse)(vec!["--help".into()]) {
        Err(e) => e.to_string(),
        Ok(_) => String::new(),
    };
    // The generated help begins with the name and the description, which are formatted differently
    // here.
    let arguments = ["ARGS:", "OPTIONS:"].iter().filter_map(|it| generated.find(it)).min();
    let arguments = arguments.map_or("", |start| &generated[start..]);
    let full_name = spec.full_name();
    let mut text =
        format!("rosemarybank {full_name} - {}\n\n{}\n", spec.about, arguments.trim_end());
    text.push_str("\n    --json\n      Prints the result as one JSON value.\n\nEXAMPLES:\n");
    for example in spec.examples {
        let words = example.args.iter().map(|it| shell_quote(it));
        let line: Vec<_> = [full_name.clone()].into_iter().chain(words).collect();
        text.push_str(&format!("    # {}\n    rosemarybank {}\n", example.about, line.join(" ")));
    }
    Report::new(text, &json!({ "command": full_name, "about": spec.about }))
}

fn shell_quote(word: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_./:,@=".contains(&b);
    if word.bytes().all(plain) { word.to_owned() } else { format!("'{word}'") }
}
