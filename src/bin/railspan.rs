//! Command-line tool for operators; see `railspan --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    railspan::run_command()
}
