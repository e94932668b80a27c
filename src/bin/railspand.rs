//! The daemon, which runs on each target host.

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;
use railspan::{
    DaemonParts, DaemonSettings, MAX_DESCRIPTORS, MAX_MEMORY_MB, MIN_DESCRIPTORS, MIN_MEMORY_MB,
};

/// Exit code for invalid settings; the same as the argument parser's for bad arguments.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code for a daemon that can't start.
const EXIT_NOT_STARTED: u8 = 1;

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "memory that the daemon may use, over the settings", meta = "MIB")]
    memory_mb: Option<f64>,

    #[options(
        no_short,
        help = "descriptors that the daemon may use, over the settings",
        meta = "N"
    )]
    max_descriptors: Option<u64>,

    #[options(free, required, help = "settings file, JSON with comments")]
    settings: String,
}

fn main() -> ExitCode {
    let options = DaemonOptions::parse_args_default_or_exit();
    let file = options.settings;
    let mut settings = match DaemonSettings::open(&file) {
        Ok(settings) => settings,
        Err(findings) => return fail(EXIT_INVALID_SETTINGS, &findings.to_string()),
    };
    if let Some(memory_mb) = options.memory_mb {
        if !(memory_mb >= MIN_MEMORY_MB as f64 && memory_mb <= MAX_MEMORY_MB as f64) {
            let text = format!(
                "--memory-mb: expected {MIN_MEMORY_MB} to {MAX_MEMORY_MB}, not {memory_mb}"
            );
            return fail(EXIT_INVALID_SETTINGS, &text);
        }
        settings.memory_mb = memory_mb as u64;
    }
    if let Some(descriptors) = options.max_descriptors {
        if !(MIN_DESCRIPTORS..=MAX_DESCRIPTORS).contains(&descriptors) {
            let text = format!(
                "--max-descriptors: expected {MIN_DESCRIPTORS} to {MAX_DESCRIPTORS}, not \
                 {descriptors}"
            );
            return fail(EXIT_INVALID_SETTINGS, &text);
        }
        settings.max_descriptors = Some(descriptors);
    }
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
