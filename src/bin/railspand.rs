//! The daemon, which runs on each target host.

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;
use railspan::{DaemonParts, DaemonSettings};

/// Exit code for invalid settings; the same as the argument parser's for bad arguments.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code for a daemon that can't start.
const EXIT_NOT_STARTED: u8 = 1;

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "settings file, JSON with comments")]
    settings: String,
}

fn main() -> ExitCode {
    let options = DaemonOptions::parse_args_default_or_exit();
    let file = options.settings;
    let settings = match DaemonSettings::open(&file) {
        Ok(settings) => settings,
        Err(findings) => return fail(EXIT_INVALID_SETTINGS, &findings.to_string()),
    };
    let parts = DaemonParts {
        client: railspan::open_store(settings.platform_address),
        adapter: railspan::adapter(),
        reload: Box::new(move || DaemonSettings::open(&file)),
    };
    match railspan::spawn(&settings, parts) {
        Ok(daemon) => {
            print_addresses(&daemon);
            daemon.wait();
            ExitCode::SUCCESS
        }
        Err(error) => fail(EXIT_NOT_STARTED, &error.to_string()),
    }
}

/// Prints the daemon's addresses as one line of JSON.
fn print_addresses(daemon: &railspan::RunningDaemon) {
    let line = serde_json::to_string(daemon.addresses()).unwrap_or_default();
    let mut out = std::io::stdout();
    // The output may be closed if the parent process doesn't read it.
    drop(writeln!(out, "{line}").and_then(|()| out.flush()));
}

fn fail(code: u8, text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(code)
}
