//! The daemon: one beside each target host.

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;
use railspan::{DaemonParts, DaemonSettings};

/// Exit code for bad settings or arguments.
const BAD_INPUT: u8 = 2;

/// Exit code for a daemon that can't start.
const NOT_STARTED: u8 = 1;

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
        Err(findings) => return complain(BAD_INPUT, &findings.to_string()),
    };
    let parts = DaemonParts {
        client: railspan::open_store(settings.platform_address),
        adapter: railspan::adapter(),
        reload: Box::new(move || DaemonSettings::open(&file)),
    };
    match railspan::spawn(&settings, parts) {
        Ok(daemon) => {
            announce(&daemon);
            daemon.wait();
            ExitCode::SUCCESS
        }
        Err(error) => complain(NOT_STARTED, &error.to_string()),
    }
}

/// Prints one line that says where the daemon listens.
fn announce(daemon: &railspan::RunningDaemon) {
    let line = serde_json::to_string(daemon.addresses()).unwrap_or_default();
    let mut out = std::io::stdout();
    // Whoever started the daemon may not care to read.
    drop(writeln!(out, "{line}").and_then(|()| out.flush()));
}

fn complain(code: u8, text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(code)
}
