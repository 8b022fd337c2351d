//! Binary of the command-line tool for operators. See [`rosemarybank_cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    rosemarybank_cli::main(std::env::args_os().skip(1).collect())
}
